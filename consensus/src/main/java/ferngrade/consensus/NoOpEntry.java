package ferngrade.consensus;

/** The first entry of a new leader. Once it is committed, all earlier entries are committed too. */
record NoOpEntry() {}
