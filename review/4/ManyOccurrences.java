import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Clients hand in 20 submissions that run once a minute for ten days, and small submissions beside them. */
final class ManyOccurrences {
    private static final int MINIONS = 8;
    private static final int NODES = 3;
    private static final int SCHEDULED = 20;
    private static final int REPEATS = 14_400;

    /** The rule: on a tenth of the machines in use, two at least, processes end by themselves three times. */
    private static final int FAULT_MACHINES = 2;
    private static final int FAULT_EXITS = 3;
    private static final int FEW_REPEATS = 60;
    private static final long PERIOD_MS = 60_000;
    private static final long CASE_MS = 80_000;

    private ManyOccurrences() { }

    public static void main(String[] arguments) throws Exception {
        boolean isDisturbed = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        int status;
        try (Deployment deployment = new Deployment(record)) {
            deployment.start(MINIONS, 32_000, NODES, 2, false);
            status = play(deployment, record, isDisturbed);
            record.line("log events of the processes: " + deployment.events());
        } catch (Exception failure) {
            record.line("the case could not run: " + failure);
            status = 2;
        }
        record.line("exit " + status);
        System.exit(status);
    }

    private static int play(Deployment deployment, Record record, boolean isDisturbed) throws Exception {
        int repeats = isDisturbed ? REPEATS : FEW_REPEATS;
        long startedAtMs = Record.nowMs();
        long firstMs = System.currentTimeMillis() + PERIOD_MS * 10;
        int[] exits = new int[NODES];
        int accepted = 0;
        for (int i = 0; i < SCHEDULED && machinesWithFault(exits) < FAULT_MACHINES; i++) {
            String body = "{\"spec\":\"work=500\",\"repeat_count\":" + repeats + ",\"start_ms\":" + firstMs
                + ",\"period_ms\":" + PERIOD_MS
                + ",\"phases\":[{\"replicas\":1,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":500}]}";
            if (deployment.submit(deployment.newJobId(), body)) accepted++;
            restartEnded(deployment, record, exits);
            Thread.sleep(500);
        }
        List<String> open = new ArrayList<>();
        while (Record.nowMs() - startedAtMs < CASE_MS && machinesWithFault(exits) < FAULT_MACHINES) {
            restartEnded(deployment, record, exits);
            if (Record.nowMs() - startedAtMs < CASE_MS - 20_000) {
                String id = deployment.newJobId();
                String small = "{\"spec\":\"work=500\",\"phases\":[{\"replicas\":2,\"cpu\":1000,\"mem_mb\":512,"
                    + "\"estimate_ms\":500}]}";
                if (deployment.submit(id, small)) open.add(id);
            }
            open.removeIf(id -> Record.nowMs() - startedAtMs < CASE_MS && deployment.stateOf(id).equals("completed"));
            Thread.sleep(1_000);
        }
        record.line("accepted submissions that run " + repeats + " times: " + accepted);
        record.line("small submissions that are not shown as completed: " + open.size());
        for (int i = 0; i < NODES; i++) {
            record.line(deployment.nodes.get(i).name + " ended by itself " + exits[i] + " times");
        }
        boolean isBroken = machinesWithFault(exits) >= FAULT_MACHINES;
        record.line("Fault: " + (isBroken ? "broken" : "holds"));
        return isBroken ? 1 : 0;
    }

    private static long machinesWithFault(int[] exits) {
        return Arrays.stream(exits).filter(count -> count >= FAULT_EXITS).count();
    }

    /** The platform starts a process that has ended by itself again. */
    private static void restartEnded(Deployment deployment, Record record, int[] exits) throws Exception {
        for (int i = 0; i < NODES; i++) {
            Deployment.Node node = deployment.nodes.get(i);
            if (node.process.isAlive()) continue;
            exits[i]++;
            record.line("process " + node.name + " has ended by itself with status " + node.process.exitValue());
            node.start();
        }
    }
}
