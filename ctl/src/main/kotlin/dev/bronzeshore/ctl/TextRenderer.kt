/** Formats responses as lines of text. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.ApplyAnswer
import dev.bronzeshore.core.AuditEntry
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.JobView
import dev.bronzeshore.core.ProcessStatus
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.VmStatus
import java.time.Instant

/** Output for people; its format may change, scripts use `--json`. */
internal object TextRenderer {
    fun applied(answer: ApplyAnswer, dryRun: Boolean): String = when {
        answer.applied -> "applied: version ${answer.version} is in force"
        dryRun -> "dry run: nothing was changed, version ${answer.version} stays in force"
        else -> "nothing to change: this is in force already, at version ${answer.version}"
    }

    fun fault(fault: Fault): List<String> = listOfNotNull(
        "error ${fault.code.number} ${fault.code}: ${fault.message}",
        fault.place?.let { "  at: $it" },
        fault.accepted?.let { "  accepted: $it" },
        fault.retryAtMs?.let { "  retry at: ${time(it)}" },
    )

    fun configuration(configuration: Configuration): List<String> = buildList {
        add("version ${configuration.version}")
        for (plan in configuration.plans) {
            add("plan ${plan.name}")
            plan.kinds.forEach { kind ->
                val service = kind.service?.let { ", service $it" }.orEmpty()
                add("  kind ${kind.name}: ${kind.policy}, weight ${kind.weight}$service")
            }
        }
        for (allowance in configuration.allowances) {
            val limit = resources(allowance.limit)
            val rest = "${allowance.slots} slots, weight ${allowance.weight}"
            add("allowance of ${allowance.plan} in ${allowance.dataCentre}: $limit, $rest")
        }
        configuration.marks.forEach { add("VM ${it.vmId}: mark ${it.mark}") }
    }

    fun auditEntries(entries: List<AuditEntry>): List<String> = entries.flatMap { entry ->
        val title = "${time(entry.atMs)} ${entry.operator}: ${entry.action}, version ${entry.version}"
        listOf(title) + entry.changes.map { "  $it" }
    }

    fun vms(vms: List<VmStatus>): List<String> = Table.lines(
        listOf("VM", "ROLE", "DATA CENTRE", "RACK", "MARK", "ACCEPTING", "QUARANTINED UNTIL"),
        vms.map { status ->
            listOf(
                status.vm.id,
                status.vm.role.name,
                status.vm.dataCentre,
                status.vm.rack,
                status.mark?.name ?: "-",
                if (status.accepting) "yes" else "no",
                status.quarantinedUntilMs?.let(::time) ?: "-",
            )
        },
    )

    fun jobs(jobs: List<JobView>): List<String> = Table.lines(
        listOf("JOB", "PLAN", "KIND", "STATE", "ACCEPTED AT", "WAITS FOR"),
        jobs.map { view ->
            val record = view.record
            listOf(
                record.jobId,
                record.plan,
                record.submission.kind,
                record.state.name,
                time(record.acceptedAtMs),
                view.waitReason ?: "-",
            )
        },
    )

    fun job(view: JobView): List<String> = buildList {
        val record = view.record
        val submission = record.submission
        add("job ${record.jobId}: ${record.state}")
        add("  plan ${record.plan}, kind ${submission.kind}, urgency ${submission.urgency}")
        add("  ${submission.parts} parts of ${resources(submission.size)} in ${record.dataCentre}")
        add("  accepted at ${time(record.acceptedAtMs)}")
        record.endedAtMs?.let { add("  ended at ${time(it)} with ${record.code.number} ${record.code}") }
        view.waitReason?.let { add("  waits: $it") }
        view.running.forEach { add("  part ${it.part} runs on ${it.workerId} since ${time(it.startedAtMs)}") }
        record.results.forEach { add("  part ${it.part} ran on ${it.workerId}: ${it.output}") }
    }

    fun status(status: ProcessStatus, nowMs: Long): List<String> = buildList {
        add("process ${status.processId} in ${status.dataCentre}: ${if (status.ready) "ready" else "not ready"}")
        add("  configuration version ${status.configurationVersion}")
        status.owned.forEach { add("  owns ${it.dataCentre}, term ${it.term}, for ${it.actUntilMs - nowMs} ms") }
        add("  members: ${status.members.joinToString()}")
    }

    private fun resources(resources: Resources): String =
        "${resources.processorsMillicores} millicores, ${resources.memoryBytes} bytes, " +
            "${resources.accelerators} accelerators"

    private fun time(ms: Long): String = Instant.ofEpochMilli(ms).toString()
}
