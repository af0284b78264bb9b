/** Submissions, states and cancellations over a store with faults. */
@file:OptIn(ExperimentalCoroutinesApi::class)

package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.JobDesk
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.encodeRow
import dev.bronzeshore.intake.createStoreJobOperations
import dev.bronzeshore.standins.cluster.StoreStandIn
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class StoreJobOperationsTest {
    private class Setup(scope: TestScope, isServed: Boolean = true) {
        val store = StoreStandIn(Random(1), scope.backgroundScope)
        val desk: JobDesk =
            createStoreJobOperations(store.asSeenBy("node"), { scope.currentTime }, { isServed }, scope.backgroundScope)
    }

    private fun job(number: Int): AcceptedJob {
        val step = StepDescription(1, Resources(1, 1), 100)
        val terms = QueueTerms("queue", "service", 0, 1, 1.0, 0)
        return AcceptedJob(number.toString(16).padStart(16, '0'), JobDescription("p", listOf(step)), terms, 0)
    }

    /** Guards against a repeated submission that is refused or stored anew. */
    @Test
    fun `a repeated submission is the same job`() = runTest {
        val setup = Setup(this)
        val answers = List(20) { async { setup.desk.submit(job(it % 5)) } }.awaitAll()
        assertEquals(listOf(SubmitAnswer.Accepted), answers.distinct())
        assertEquals(5, setup.store.rowsOf(Tables.INTAKE).size)
    }

    /** Guards against a refusal of a job that was stored or may still be (REFUSED). */
    @Test
    fun `a submission without an answer is never refused`() = runTest {
        val setup = Setup(this)
        setup.store.faults.lostAnswers = 1.0
        setup.store.faults.lateByMs = 2_000
        assertInstanceOf(SubmitAnswer.Unknown::class.java, setup.desk.submit(job(1)))
    }

    /** Guards against an answer "unknown" where a second look shows that the job is stored. */
    @Test
    fun `a lost answer is settled by a second attempt`() = runTest {
        val setup = Setup(this)
        setup.store.faults.lostAnswers = 1.0
        val answer = async { setup.desk.submit(job(1)) }
        delay(300)
        setup.store.faults.lostAnswers = 0.0
        assertEquals(SubmitAnswer.Accepted, answer.await())
    }

    /** Guards against callers that are held up while the store serves nobody. */
    @Test
    fun `submissions are refused at once while the store is down`() = runTest {
        val setup = Setup(this, isServed = false)
        setup.store.faults.isDown = true
        val startedAtMs = currentTime
        assertInstanceOf(SubmitAnswer.Rejected::class.java, setup.desk.submit(job(1)))
        assertTrue(currentTime - startedAtMs < 50)
    }

    /** Guards against burst traffic in a slow spell that needs one transaction after another for each job. */
    @Test
    fun `a burst in a slow spell is stored within two writes`() = runTest {
        val setup = Setup(this)
        setup.store.faults.latencyMs = 300
        val startedAtMs = currentTime
        List(200) { async { setup.desk.submit(job(it)) } }.awaitAll()
        assertTrue(currentTime - startedAtMs <= 700)
    }

    /** Guards against a state that is shown before it is stored, or a known job that is denied. */
    @Test
    fun `answers for the state of a job from what is stored`() = runTest {
        val setup = Setup(this)
        assertEquals(StateAnswer.NoSuchJob, setup.desk.stateOf(job(1).jobId))
        setup.desk.submit(job(1))
        assertEquals(StateAnswer.Found(JobPhase.PENDING), setup.desk.stateOf(job(1).jobId))
        assertTrue(setup.desk.cancel(job(1).jobId))
        assertEquals(StateAnswer.Found(JobPhase.CANCELLED), setup.desk.stateOf(job(1).jobId))
        val progress = JobProgress(JobPhase.COMPLETED)
        setup.store.put(Tables.progressRow(job(1).jobId), encodeRow(JobProgress.serializer(), progress))
        assertEquals(StateAnswer.Found(JobPhase.COMPLETED), setup.desk.stateOf(job(1).jobId))
        setup.store.faults.isDown = true
        assertEquals(StateAnswer.Unavailable, setup.desk.stateOf(job(1).jobId))
    }

    /** Guards against an accepted job that is denied because it ends while its state is read (LOST). */
    @Test
    fun `a job that ends between two looks at the store is found`() = runTest {
        val setup = Setup(this)
        setup.desk.submit(job(1))
        setup.store.faults.latencyMs = 300
        val state = async { setup.desk.stateOf(job(1).jobId) }
        delay(400)
        val progress = JobProgress(JobPhase.COMPLETED)
        setup.store.put(Tables.progressRow(job(1).jobId), encodeRow(JobProgress.serializer(), progress))
        setup.store.put(Tables.acceptedRow(job(1).jobId), null)
        assertEquals(StateAnswer.Found(JobPhase.COMPLETED), state.await())
    }
}
