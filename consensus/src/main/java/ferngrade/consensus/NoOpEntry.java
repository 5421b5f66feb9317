package ferngrade.consensus;

/** The first entry of a leader: once it is agreed on, everything before it is too. */
record NoOpEntry() {}
