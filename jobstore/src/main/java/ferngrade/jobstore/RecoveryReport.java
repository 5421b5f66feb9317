package ferngrade.jobstore;

import java.util.Optional;

/**
 * The result of reading a store in a recovery.
 *
 * @param records the number of records replayed
 * @param batches the number of batches replayed
 * @param bytes the total length of these batches without headers
 * @param tornBytes the length of the torn tail that was ignored; 0 if there is none
 * @param tornFile the file with the torn tail; empty if there is none
 */
public record RecoveryReport(
    long records, long batches, long bytes, long tornBytes, Optional<String> tornFile) {}
