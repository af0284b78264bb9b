/** Supervisors of all known data centres. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode

/** Used on the control thread only; a data centre is added when its first VM appears and never removed. */
internal class DataCentres(private val context: SupervisorContext) {
    private val byName = LinkedHashMap<String, DataCentreSupervisor>()

    val all: Collection<DataCentreSupervisor> get() = byName.values

    fun find(dataCentre: String): Either<Fault, DataCentreSupervisor> = byName[dataCentre]?.right()
        ?: Fault(ResultCode.NOT_OWNER, "Data centre $dataCentre is not known to this process.").left()

    fun ownerIdOf(dataCentre: String): String? = byName[dataCentre]?.ownership?.state?.ownerId

    /** Updates the views; the supervisor of a new data centre starts to compete for ownership at once. */
    fun update(views: Map<String, DataCentreView>) = views.forEach { (dataCentre, view) ->
        val known = byName[dataCentre]
        val supervisor = known ?: DataCentreSupervisor(dataCentre, context).also { byName[dataCentre] = it }
        supervisor.update(view)
        if (known == null) supervisor.start()
    }
}
