/** Where a process or worker of a soak runs. */
package dev.bronzeshore.server.soak

private val DATA_CENTRES = listOf("zone-a", "zone-b", "zone-c")

/** [machine] stays the same when a worker starts again under another id. */
internal data class SoakPlace(val machine: String, val dataCentre: String, val rack: String = "") {
    companion object {
        /** The data centre of the process or worker with number [index]; all three have equal shares. */
        fun dataCentreOf(index: Int): String = DATA_CENTRES[index % DATA_CENTRES.size]
    }
}
