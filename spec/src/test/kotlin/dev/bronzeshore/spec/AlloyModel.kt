/** Runs the commands of an Alloy file with the bundled SAT4J solver. */
package dev.bronzeshore.spec

import edu.mit.csail.sdg.alloy4.A4Reporter
import edu.mit.csail.sdg.ast.Command
import edu.mit.csail.sdg.parser.CompModule
import edu.mit.csail.sdg.parser.CompUtil
import edu.mit.csail.sdg.translator.A4Options
import edu.mit.csail.sdg.translator.A4Solution
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod
import kodkod.engine.satlab.SATFactory

/** One `.als` file under `src/test/alloy`. */
internal class AlloyModel(file: String) {
    private val module: CompModule = CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, "src/test/alloy/$file")

    val commands: List<Command> get() = module.allCommands

    /** A satisfiable solution is an instance of a `run` command or a counterexample to a `check` command. */
    fun solve(command: Command): A4Solution {
        val options = A4Options()
        options.solver = SATFactory.find("sat4j").orElseThrow()
        return TranslateAlloyToKodkod.execute_command(A4Reporter.NOP, module.allReachableSigs, command, options)
    }
}
