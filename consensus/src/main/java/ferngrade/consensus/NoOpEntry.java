package ferngrade.consensus;

/** The first entry of a leader: once it is committed, everything before it is too. */
record NoOpEntry() {}
