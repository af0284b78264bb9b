/** Command line of the measurements: prints one line of JSON per figure. */
package dev.bronzeshore.bench

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import kotlin.system.exitProcess

internal class BenchOptions {
    @Option(name = "--seed", usage = "seed of all generated jobs")
    var seed: Long = 20_260_807

    @Option(name = "--only", usage = "runs one group: latency, throughput, urgent, flood, packing, fleet or gang")
    var only: String? = null
}

/** A named group of figures. */
internal class Measurement(val name: String, val run: (seed: Long, sink: FigureSink) -> Unit)

private val measurements = listOf(
    Measurement("latency") { seed, sink -> DecisionLatency(seed, sink).run() },
    Measurement("throughput") { seed, sink -> Throughput(seed, sink).run() },
    Measurement("urgent") { seed, sink -> UrgentStart(seed, sink).run() },
    Measurement("flood") { seed, sink -> FloodFairness(seed, sink).run() },
    Measurement("packing") { seed, sink -> Packing(seed, sink).run() },
    Measurement("fleet") { seed, sink -> FleetSizing(seed, sink).run() },
    Measurement("gang") { seed, sink -> GangStart(seed, sink).run() },
)

/** Runs all groups of measurements, or the one named by `--only`. */
public fun main(args: Array<String>) {
    val options = BenchOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (exception: CmdLineException) {
        System.err.println("bench: ${exception.message}")
        parser.printUsage(System.err)
        exitProcess(2)
    }
    measurements
        .filter { options.only == null || it.name == options.only }
        .forEach { it.run(options.seed) { figure -> println(figure.toLine()) } }
}
