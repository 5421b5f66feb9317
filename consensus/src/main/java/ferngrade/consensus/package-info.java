/**
 * A log that is replicated among the members of a fleet by the Raft algorithm of MicroRaft. {@link
 * ferngrade.consensus.RaftMember} takes part in it with the project's own clock, timers and
 * connections, {@link ferngrade.consensus.RaftLogStore} stores a member's state on a {@code
 * ferngrade.jobstore.Storage}, and {@link ferngrade.consensus.ReplicatedStateMachine} is what
 * applies the committed commands. {@link ferngrade.consensus.LogFormat} lists the classes that are
 * stored and sent.
 */
package ferngrade.consensus;
