package dev.bronzeshore.standins

import dev.bronzeshore.core.StrictJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readText

/** Guards against an example file that does not load and servers that share an id, rack or port by mistake. */
class PlatformPlanTest {
    private val plan = StrictJson.decodeFromString<PlatformPlan>(Path.of("examples/platform.json").readText())

    @Test
    fun `the example expands to workers in racks of eight`() {
        val workers = plan.workers.first().expand()
        assertEquals(16, workers.size)
        assertEquals(listOf("worker-north-1", "worker-north-8"), workers.filter { it.rack == "north-1" }.ends())
        assertEquals(listOf("worker-north-9", "worker-north-16"), workers.filter { it.rack == "north-2" }.ends())
        assertEquals(
            listOf("slots-north-1", "slots-north-2", "slots-north-3"),
            plan.endpoints[0].expand().map {
                it.id
            },
        )
    }

    @Test
    fun `expanded servers use consecutive ports`() {
        val workers = plan.workers.first().copy(port = 7_100).expand()
        assertEquals(listOf(7_100, 7_115), listOf(workers.first().port, workers.last().port))
    }

    @Test
    fun `two servers with the same id are refused`() {
        val endpoint = EndpointPlan("e", "s", "a", "r", slots = 1)
        assertThrows(IllegalArgumentException::class.java) {
            Platform(PlatformPlan(endpoints = listOf(endpoint, endpoint))) { 0 }
        }
    }

    private fun List<WorkerPlan>.ends(): List<String> = listOf(first().id, last().id)
}
