package ferngrade.node;

/**
 * What a client asked for, as it is to reach a worker: every part is passed on unchanged. {@code
 * repeatKey} is null where the client gave none.
 */
public record JobRequest(String id, String method, String target, String repeatKey, byte[] body) {}
