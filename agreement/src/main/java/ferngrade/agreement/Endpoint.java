package ferngrade.agreement;

import io.microraft.RaftEndpoint;

/** A member as the log knows it, by its name. */
record Endpoint(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }
}
