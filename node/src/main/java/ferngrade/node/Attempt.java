package ferngrade.node;

/** One sending of a request to a worker. */
final class Attempt {
    final Exchange exchange;
    final int number;
    final long worker;
    /** The list's entry at the time of the send; null if the list holds none. */
    final Member member;
    final double sentAt;
    Workers.Sending sending;
    Timers.Timer timeout;
    Timers.Timer acceptance;
    boolean written;
    boolean ended;
    /** The worker has told of it by a call-back. */
    boolean calledBack;

    Attempt(Exchange exchange, long worker, Member member, double sentAt) {
        this.exchange = exchange;
        this.number = exchange.attempts.size();
        this.worker = worker;
        this.member = member;
        this.sentAt = sentAt;
    }

    /** Calls off the timers: the attempt has ended. */
    void stopTimers() {
        if (timeout != null) {
            timeout.cancel();
            acceptance.cancel();
        }
    }

    /** Written and not ended: what a call-back can be about. */
    boolean running() {
        return written && !ended;
    }
}
