package ferngrade.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * A small file that a later process of the same node takes over, say across an upgrade. It is written whole to a
 * file beside it and then renamed over it, so that a reader finds the old text or the new one, never a torn one.
 * Writes run on a thread of their own, in order, so that the event loop never waits for the disk.
 */
public final class StateFile {
    private final Path path;
    private final ExecutorService disk = Executors.newSingleThreadExecutor(run -> {
        Thread thread = new Thread(run, "state-file");
        thread.setDaemon(true);
        return thread;
    });

    /** The file at {@code path}; its folder must exist. */
    public StateFile(Path path) {
        this.path = path;
    }

    /** What an earlier process wrote, or null where there is no such file. */
    public String read() throws IOException {
        try {
            return Files.readString(path, StandardCharsets.UTF_8);
        } catch (NoSuchFileException none) {
            return null;
        }
    }

    /**
     * Writes {@code text} in the background; {@code done} then gets null, or what went wrong. It runs on the
     * writing thread: whoever needs it elsewhere hands it on.
     */
    public void write(String text, Consumer<IOException> done) {
        disk.execute(() -> {
            Path next = path.resolveSibling(path.getFileName() + ".next");
            try {
                Files.writeString(next, text, StandardCharsets.UTF_8);
                Files.move(next, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                done.accept(null);
            } catch (IOException failed) {
                done.accept(failed);
            }
        });
    }
}
