/** Identity of one task of a job. */
package dev.bronzeshore.core.cluster

/** Task [index] of step [step] in occurrence [occurrence] of a job. */
public data class TaskName(
    public val jobId: String,
    public val occurrence: Int,
    public val step: Int,
    public val index: Int,
) {
    public val stepName: StepName get() = StepName(jobId, occurrence, step)

    override fun toString(): String = "$jobId.$occurrence.$step.$index"

    public companion object {
        private const val FIELD_COUNT = 4

        /** Parses the format of [toString]; returns null if the text is not a task name. */
        public fun parse(text: String): TaskName? {
            val fields = text.split('.')
            if (fields.size != FIELD_COUNT) return null
            val numbers = fields.drop(1).map { it.toIntOrNull()?.takeIf { number -> number >= 0 } ?: return null }
            return TaskName(fields[0], numbers[0], numbers[1], numbers[2])
        }
    }
}

/** One step in one occurrence of a job. */
public data class StepName(public val jobId: String, public val occurrence: Int, public val step: Int) {
    override fun toString(): String = "$jobId.$occurrence.$step"
}
