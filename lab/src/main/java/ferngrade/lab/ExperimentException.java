package ferngrade.lab;

/** An experiment that cannot be used; the message is one line that names the file and, where known, the line. */
public final class ExperimentException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says where and what. */
    public ExperimentException(String where, String what) {
        super(where + ": " + what);
    }
}
