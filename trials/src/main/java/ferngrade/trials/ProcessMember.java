package ferngrade.trials;

import ferngrade.config.MemberReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The program as a member, in a process of its own; what it says goes into the history. */
final class ProcessMember {
    private static final Pattern PAIR = Pattern.compile("([a-z]+)=(\\S+)");

    final String name;
    private final List<String> program;
    private final Path file;
    private final Path data;
    private final History history;
    private final Consumer<InetSocketAddress> listens;
    private Process process;
    private boolean begun;

    /** {@code listens} is told where the member listens, anew with each start. */
    ProcessMember(String name, List<String> program, Path file, Path data, History history,
            Consumer<InetSocketAddress> listens) {
        this.listens = listens;
        this.name = name;
        this.program = program;
        this.file = file;
        this.data = data;
        this.history = history;
    }

    void start() throws IOException {
        List<String> line = new ArrayList<>(program);
        line.addAll(List.of("fleet", "member", file.toString(), "--name", name, "--data", data.toString()));
        if (!begun) {
            line.add("--found");
            begun = true;
        }
        history.add(name, "start", Map.of());
        Process started = new ProcessBuilder(line).redirectErrorStream(true).start();
        process = started;
        Thread reader = new Thread(() -> read(started), "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process from) {
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(from.getInputStream(),
                StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                // "12.345 a gained shard=sweep/0 epoch=4": time, name, what, details.
                String[] parts = line.split(" ", 4);
                boolean own = parts.length > 2 && parts[1].equals(name);
                Map<String, String> details = new java.util.TreeMap<>();
                details.put("line", line);
                Matcher pair = PAIR.matcher(line);
                while (pair.find()) {
                    details.put(pair.group(1), pair.group(2));
                }
                if (own && parts[2].equals("listening")) {
                    listens.accept(MemberReader.address(details.get("address")));
                }
                history.add(name, own ? parts[2] : "said", details);
            }
        } catch (IOException ended) {
            // Its end is what counts, and is seen below.
        }
        history.add(name, "ended", Map.of("code", Integer.toString(from.onExit().join().exitValue())));
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    void kill() {
        process.destroyForcibly();
    }

    void terminate() {
        process.destroy();
    }

    /** SIGSTOP or SIGCONT. */
    void stand(boolean still) throws IOException, InterruptedException {
        if (alive()) {
            new ProcessBuilder("kill", still ? "-STOP" : "-CONT", Long.toString(process.pid())).start().waitFor();
        }
    }

    void awaitEnd() throws InterruptedException {
        process.waitFor(10, TimeUnit.SECONDS);
    }

    /** Loses all that its folder holds. */
    void forget() throws IOException {
        try (Stream<Path> files = Files.walk(data)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }
}
