/** Base class of all commands that call a server. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.bronzeshore.core.ResultCode
import kotlinx.serialization.KSerializer
import org.kohsuke.args4j.Option
import java.net.URI
import java.nio.file.Path

/** A command with options for the server, the token and the output format. */
internal abstract class ServerCommand : Command() {
    @field:Option(
        name = "--server",
        metaVar = "URL",
        usage = "operator port of any bronzeshore process; default: environment variable $SERVER_VARIABLE",
    )
    private var server: String? = null

    @field:Option(
        name = "--token-file",
        metaVar = "FILE",
        usage = "file that holds the operator's bearer token; default: environment variable $TOKEN_FILE_VARIABLE",
    )
    private var tokenFile: String? = null

    @field:Option(name = "--json", usage = "prints the answer, or the faults, as JSON")
    var json: Boolean = false

    /** Creates a client for the server that the options or environment variables specify. */
    protected fun client(context: CtlContext): Either<CtlFailure, OperatorClient> = either {
        val url = (server ?: context.environment(SERVER_VARIABLE)) ?: raise(missingOption("--server", SERVER_VARIABLE))
        val file =
            (tokenFile ?: context.environment(TOKEN_FILE_VARIABLE))
                ?: raise(missingOption("--token-file", TOKEN_FILE_VARIABLE))
        val token = readText(Path.of(file)).bind().trim()
        if (token.isEmpty() || token.any { it.isISOControl() }) {
            raise(CtlFailure.usage("The file does not hold one line with a token.", "a file with one token", file))
        }
        OperatorClient(checkUrl(url).bind(), token, context.http)
    }

    /** Prints [value] as JSON, or as the lines that [render] returns. */
    protected fun <T> show(context: CtlContext, serializer: KSerializer<T>, value: T, render: (T) -> List<String>) {
        if (json) {
            context.printOut(OutputJson.encodeToString(serializer, value))
        } else {
            render(value).forEach(context.printOut)
        }
    }

    private fun checkUrl(url: String): Either<CtlFailure, String> {
        val uri = runCatching { URI(url) }.getOrNull()
        return if (uri?.host == null || uri.scheme !in setOf("http", "https")) {
            CtlFailure.usage("\"$url\" is not the URL of a server.", "http://HOST:PORT", "--server").left()
        } else {
            url.trimEnd('/').right()
        }
    }

    private fun missingOption(option: String, variable: String): CtlFailure = CtlFailure.usage(
        "The option $option is missing.",
        "$option, or the environment variable $variable",
        option,
        ResultCode.MISSING_FIELD,
    )

    internal companion object {
        const val SERVER_VARIABLE: String = "BRONZESHORE_SERVER"
        const val TOKEN_FILE_VARIABLE: String = "BRONZESHORE_TOKEN_FILE"
    }
}
