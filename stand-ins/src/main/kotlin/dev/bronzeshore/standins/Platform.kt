/** A running platform made of stand-ins, for tests in the same process and for the command line. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmRole
import kotlinx.serialization.Serializable

/** Address (`host:port`) of each server that a process hosts; null for those that it does not host. */
@Serializable
public data class PlatformAddresses(
    public val table: String? = null,
    public val objectStore: String? = null,
    public val vmList: String? = null,
    public val vms: List<Vm> = emptyList(),
)

/**
 * Hosts the servers of a plan from its creation until [close].
 *
 * Each port occupies one thread of the I/O dispatcher. With more than about 50 ports, the system property
 * `kotlinx.coroutines.io.parallelism` must be raised before the process first uses that dispatcher.
 */
public class Platform(plan: PlatformPlan, clock: ClockMs) : AutoCloseable {
    private val table = plan.table?.let { HostedServer(TableStandIn("table"), it.port) }
    private val objectStore = plan.objectStore?.let { HostedServer(ObjectStoreStandIn("objects"), it.port) }
    private val vmList = plan.vmList?.let { HostedServer(VmListStandIn("vms", clock), it.port) }
    private val workerPlans = plan.workers.flatMap { it.expand() }
    private val workers = workerPlans.map { HostedServer(WorkerStandIn(it, clock), it.port) }
    private val endpointPlans = plan.endpoints.flatMap { it.expand() }
    private val endpoints = endpointPlans.map { HostedServer(EndpointStandIn(it, clock), it.port) }
    private val servers = listOfNotNull(table, objectStore, vmList) + workers + endpoints
    private val host: StandInHost

    init {
        val repeated = servers.groupingBy { it.standIn.id }.eachCount().filterValues { it > 1 }.keys
        require(repeated.isEmpty()) { "These ids name more than one server: $repeated." }
        host = StandInHost(servers)
    }

    /** Listen addresses of the servers. */
    public val addresses: PlatformAddresses = PlatformAddresses(
        table?.let { addressOf(it) },
        objectStore?.let { addressOf(it) },
        vmList?.let { addressOf(it) },
        workerPlans.zip(workers, ::workerVm) + endpointPlans.zip(endpoints, ::endpointVm),
    )

    init {
        (vmList?.standIn as? VmListStandIn)?.put(addresses.vms)
    }

    /** Returns the records of all servers. */
    public fun records(): List<ServerRecords> = servers.map { it.standIn.records() }

    /** Replaces the faults of server [id]; table, object store and VM list have the ids `table`, `objects`, `vms`. */
    public fun setFaults(id: String, faults: Faults): Unit =
        servers.first { it.standIn.id == id }.standIn.faultInjector.replace(faults)

    override fun close(): Unit = host.close()

    private fun addressOf(server: HostedServer): String = "$LOOPBACK_ADDRESS:${host.ports.getValue(server.standIn)}"

    private fun workerVm(plan: WorkerPlan, server: HostedServer): Vm =
        Vm(plan.id, VmRole.WORKER, plan.dataCentre, plan.rack, addressOf(server), capacity = plan.capacity)

    private fun endpointVm(plan: EndpointPlan, server: HostedServer): Vm = Vm(
        plan.id,
        VmRole.ENDPOINT,
        plan.dataCentre,
        plan.rack,
        addressOf(server),
        service = plan.service,
        slots = plan.slots,
    )
}
