package ferngrade.net;

import ferngrade.Dispatcher.Job;
import ferngrade.Dispatcher.JobClass;
import ferngrade.Dispatcher.Settings;
import ferngrade.Dispatcher.Tenant;
import ferngrade.node.Call;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads clients' requests: the headers that say what a job is. */
final class RequestReader {
    /** Longest id that is taken; it also stands in the path of a DELETE. */
    private static final int LONGEST_ID = 128;

    private final Settings settings;
    private final Map<String, Integer> classes;
    private final Map<String, Integer> tenants;

    RequestReader(Settings settings) {
        this.settings = settings;
        this.classes = positions(settings.classes().stream().map(JobClass::name).toList());
        this.tenants = positions(settings.tenants().stream().map(Tenant::name).toList());
    }

    private static Map<String, Integer> positions(List<String> names) {
        Map<String, Integer> positions = new HashMap<>();
        for (String name : names) {
            positions.put(name, positions.size());
        }
        return positions;
    }

    Job job(HttpHeaders headers, double now) throws BadRequestException {
        String id = headers.get(Headers.ID);
        if (id == null || id.isEmpty() || id.length() > LONGEST_ID || !id.matches("[A-Za-z0-9._:~-]+")) {
            throw new BadRequestException(Headers.ID + " is missing or not a plain word");
        }
        int jobClass = position(classes, headers, Headers.KIND);
        int tenant = tenants.isEmpty() ? 0 : position(tenants, headers, Headers.OWNER);
        String wait = headers.get(Headers.DEADLINE);
        // No client waits longer than its class says; a wild figure must not hold a place in the table for days.
        double longest = settings.classes().get(jobClass).deadline();
        double deadline = wait == null ? longest : Math.min(longest, deadline(wait));
        String cost = headers.get(Headers.COST);
        double work = cost == null ? 0 : amount(Headers.COST, cost) / 1000;
        Map<String, Double> extras = extras(headers.get(Headers.EXTRA));
        return new Job(id, jobClass, tenant, now + deadline, work, extras.getOrDefault("slots", 1.0),
                extras.getOrDefault("memory", 0.0));
    }

    static Call call(FullHttpRequest request, String id) {
        return new Call(id, request.method().name(), request.uri(), request.headers().get(Headers.REPEAT_KEY),
                ByteBufUtil.getBytes(request.content()));
    }

    private static int position(Map<String, Integer> names, HttpHeaders headers, String header)
            throws BadRequestException {
        Integer position = names.get(String.valueOf(headers.get(header)));
        if (position == null) {
            throw new BadRequestException(header + " is missing or unknown");
        }
        return position;
    }

    /** A time in ms from a number and its unit: {@code m} for milliseconds, {@code u} for microseconds. */
    private static double deadline(String text) throws BadRequestException {
        String number = text.isEmpty() ? "" : text.substring(0, text.length() - 1);
        double amount = amount(Headers.DEADLINE, number);
        return switch (text.charAt(text.length() - 1)) {
            case 'm' -> amount;
            case 'u' -> amount / 1000;
            default -> throw new BadRequestException(Headers.DEADLINE + " has no unit m or u");
        };
    }

    private static double amount(String header, String text) throws BadRequestException {
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value < Double.POSITIVE_INFINITY) {
                return value;
            }
        } catch (NumberFormatException notANumber) {
            throw new BadRequestException(header + " is not a number");
        }
        throw new BadRequestException(header + " is out of range");
    }

    private static Map<String, Double> extras(String text) throws BadRequestException {
        Map<String, Double> extras = new HashMap<>();
        if (text != null && !text.isBlank()) {
            for (String pair : text.split(",")) {
                int equals = pair.indexOf('=');
                String name = pair.substring(0, Math.max(0, equals)).strip();
                if (name.equals("slots") || name.equals("memory")) {
                    extras.put(name, amount(Headers.EXTRA, pair.substring(equals + 1).strip()));
                }
            }
        }
        return extras;
    }
}
