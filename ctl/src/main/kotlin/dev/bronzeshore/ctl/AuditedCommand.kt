/** Base class of all commands that change the configuration. */
package dev.bronzeshore.ctl

import org.kohsuke.args4j.Option

/** A command whose change is recorded in the audit log under the operator's name. */
internal abstract class AuditedCommand : ChangeCommand() {
    @field:Option(name = "--operator", metaVar = "NAME", usage = "name for the audit; default: the login name")
    private var operator: String? = null

    protected fun operatorName(context: CtlContext): String = operator ?: context.userName
}
