/**
 * Replicates a log among the members of a fleet with MicroRaft's implementation of Raft. {@link
 * ferngrade.consensus.RaftMember} runs the algorithm with the project's own clock, timers and
 * connections, {@link ferngrade.consensus.RaftLogStore} stores a member's state on a {@code
 * ferngrade.jobstore.Storage}, and {@link ferngrade.consensus.ReplicatedStateMachine} applies the
 * committed commands. {@link ferngrade.consensus.LogFormat} lists the classes that are stored and
 * sent.
 */
package ferngrade.consensus;
