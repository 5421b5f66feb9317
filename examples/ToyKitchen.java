import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs a discovery service and its only worker, to try out a node. Each job takes half a second. */
public final class ToyKitchen {
    private static final String NODE = "http://127.0.0.1:8080/_jobs/news";
    private static final int WORKER_PORT = 8081;
    private static final int DISCOVERY_PORT = 8500;
    private static final int JOB_MS = 500;

    private final HttpClient caller = HttpClient.newHttpClient();
    private final ScheduledExecutorService jobs = Executors.newScheduledThreadPool(4);

    public static void main(String[] arguments) throws IOException {
        ToyKitchen kitchen = new ToyKitchen();
        serve(DISCOVERY_PORT, "/api/targets", ToyKitchen::list);
        serve(WORKER_PORT, "/", kitchen::work);
        System.out.println("worker at 127.0.0.1:" + WORKER_PORT + ", discovery at 127.0.0.1:" + DISCOVERY_PORT);
    }

    private static void serve(int port, String path, com.sun.net.httpserver.HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 50);
        server.createContext(path, handler);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
    }

    /** Sends the complete worker list as the first line of a watch, then an empty line every 2 s. */
    private static void list(HttpExchange exchange) throws IOException {
        String list = "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"s-toy\",\"host_port\":\"127.0.0.1:"
                + WORKER_PORT + "\",\"locality\":\"here\",\"flavor\":\"toy\",\"cell\":0,\"phase\":\"active\","
                + "\"size\":1.0,\"up_since_ms\":0}]}\n";
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (String line = list; ; line = "\n") {
                out.write(line.getBytes(StandardCharsets.UTF_8));
                out.flush();
                TimeUnit.SECONDS.sleep(2);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Accepts a job and reports its start and its result to the node. */
    private void work(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String id = exchange.getRequestHeaders().getFirst("Req-Id");
        boolean accepted = exchange.getRequestMethod().equals("POST") && id != null;
        System.out.println(exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + id);
        exchange.sendResponseHeaders(accepted ? 202 : 404, -1);
        exchange.close();
        if (accepted) {
            tell(id, "\"started\"");
            jobs.schedule(() -> tell(id, "\"done\",\"result\":\"cooked: " + body.replaceAll("[\"\\\\\\s]", " ") + "\""),
                    JOB_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void tell(String id, String state) {
        HttpRequest callback = HttpRequest.newBuilder(URI.create(NODE)).POST(HttpRequest.BodyPublishers.ofString(
                "{\"id\":\"" + id + "\",\"from\":\"s-toy\",\"state\":" + state + "}")).build();
        caller.sendAsync(callback, HttpResponse.BodyHandlers.discarding());
    }
}
