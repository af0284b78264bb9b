// Runs a case and ends with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
import java.nio.file.Path;

final class Case {
    interface Body {
        int run(boolean hasTrouble) throws Exception;
    }

    static void run(String[] arguments, Body body) throws Exception {
        Record.open(Path.of(arguments[0], "record.txt"));
        int result;
        try {
            result = body.run(!"0".equals(System.getenv("TROUBLE")));
        } catch (Exception failure) {
            Record.line("the case could not run: " + failure);
            result = 2;
        }
        Record.line("result " + result);
        Runtime.getRuntime().halt(result);
    }
}
