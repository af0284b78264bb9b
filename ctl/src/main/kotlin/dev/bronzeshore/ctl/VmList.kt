/** `vm list`: lists the VMs as the server sees them. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.VmStatus
import kotlinx.serialization.builtins.ListSerializer

internal class VmList : ServerCommand() {
    override val synopsis: String = "vm list"
    override val summary: String = "Lists the VMs with their marks and whether they are given work."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val vms = client(context).bind().vms().bind()
        show(context, ListSerializer(VmStatus.serializer()), vms, TextRenderer::vms)
    }
}
