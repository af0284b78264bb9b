// A gang that can never be done, and then a sound submission of two steps. All minions but one stay idle.
import java.util.ArrayList;
import java.util.List;

final class ReservedForNothing {
    private static final int MINIONS = 7;
    private static final long FINISH_MS = 14_000;
    private static final long NOTHING_RUNNING_MS = 3_000;
    private static final String POISON_ID = "0badc0de0badc0de";
    private static final String ID = "5c0e7a21d94b36f8";

    /** Sound submissions before the one that can never be done, which is one of 22. */
    private static final int OTHERS = 20;

    /** The first step takes longer than its estimate, which is a rough one. */
    private static final long ESTIMATE_MS = 400;
    private static final long FIRST_STEP_MS = 6_000;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, ReservedForNothing::play);
    }

    private static int play(boolean hasTrouble) throws Exception {
        Store store = new Store(Http.freePort());
        store.put("op", "config", Deployment.config(3));
        List<Minion> minions = new ArrayList<>();
        for (int i = 0; i < MINIONS; i++) {
            minions.add(new Minion(store, "m" + i, "r1", 6_000, (task, run) ->
                new Minion.Work(task.startsWith(ID + ".0.0.") ? FIRST_STEP_MS : ESTIMATE_MS, "done")));
        }
        try (Deployment system = new Deployment(store.port(), 2)) {
            return system.start() ? run(system, minions, hasTrouble) : 2;
        }
    }

    private static int run(Deployment system, List<Minion> minions, boolean hasTrouble) throws Exception {
        Thread.sleep(3_000);
        Object small = Json.map("replicas", 1, "cpu", 2_000, "mem_mb", 512, "estimate_ms", ESTIMATE_MS);
        for (int i = 0; i < OTHERS; i++) {
            String other = String.format("%016x", 0xabcd00000000L + i);
            if (!system.submit(other, Json.map("spec", "sound work", "phases", List.of(small)))) return 2;
        }
        // Two members fit on each minion, but at most one may run there, so that seven minions never hold 14.
        Object gang = Json.map("replicas", 2 * MINIONS, "cpu", 8_000, "mem_mb", 1_024, "estimate_ms", ESTIMATE_MS,
            "gang", true, "anti_affinity", 1);
        if (hasTrouble && !system.submit(POISON_ID, Json.map("spec", "poison", "phases", List.of(gang)))) return 2;
        Object second = Json.map("replicas", 1, "cpu", 2_000, "mem_mb", 512, "estimate_ms", ESTIMATE_MS,
            "after", List.of(0));
        if (!system.submit(ID, Json.map("spec", "sound work", "phases", List.of(small, second)))) return 2;
        long trafficEndedAtMs = Record.nowMs();
        long idleSinceMs = Record.nowMs();
        while (Record.nowMs() - trafficEndedAtMs < 60_000) {
            if (minions.stream().anyMatch(it -> it.runsAny())) idleSinceMs = Record.nowMs();
            if ("completed".equals(system.state(ID))) return 0;
            Thread.sleep(500);
        }
        long idleMs = Record.nowMs() - Math.max(idleSinceMs, trafficEndedAtMs + FINISH_MS);
        Record.line("nothing has run on any minion for " + (Record.nowMs() - idleSinceMs) + " ms");
        if (idleMs < NOTHING_RUNNING_MS) return 2;
        Record.line("LOST: the second step's turn has come, all minions are idle, and nothing of it starts");
        return 1;
    }
}
