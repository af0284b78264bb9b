package dev.bronzeshore.plans

import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against a return to an older configuration, and listeners that are not called after another one failed. */
class ConfigurationHolderTest {
    @Test
    fun `only a higher version comes into force, and a failing listener does not stop the others`() = runBlocking {
        val table = FakeTable()
        val holder = ConfigurationHolder()
        val versions = mutableListOf<Long>()
        holder.addListener { error("broken listener") }
        holder.addListener { versions += it.version }
        val refresher = ConfigurationRefresher(table.api, holder)
        table.readFault = Fault(ResultCode.STORE_UNAVAILABLE, "down")
        assertEquals(true, refresher.refresh().isLeft())
        assertEquals(false, holder.isKnown)
        table.readFault = null
        assertEquals(true, refresher.refresh().getOrNull())
        val offers = listOf(3L to true, 2L to false, 3L to false, 4L to true).map { (version, isAccepted) ->
            isAccepted to holder.offer(Configuration(version))
        }
        assertEquals(offers.map { it.first }, offers.map { it.second })
        assertEquals(false, refresher.refresh().getOrNull())
        assertEquals(listOf(0L, 3L, 4L), versions)
    }
}
