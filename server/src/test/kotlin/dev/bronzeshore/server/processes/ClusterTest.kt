/** Base class of tests that share one cluster per class. */
package dev.bronzeshore.server.processes

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/** Tests run in their `@Order`, because each one continues with the cluster of the previous one. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
internal abstract class ClusterTest(private val size: Int) {
    protected lateinit var cluster: ProcessCluster

    @BeforeAll
    fun startCluster(@TempDir folder: Path) {
        cluster = ProcessCluster(folder, size)
    }

    @AfterAll
    fun stopCluster() = cluster.close()
}
