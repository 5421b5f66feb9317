package ferngrade.jobstore;

import java.util.Optional;

/**
 * What a recovery found in a store.
 *
 * @param records the records replayed
 * @param batches the batches replayed
 * @param bytes the length of these batches without their headers
 * @param tornBytes the length of the torn tail that was ignored; 0 for none
 * @param tornFile the file that ends torn, if one does
 */
public record RecoveryReport(
    long records, long batches, long bytes, long tornBytes, Optional<String> tornFile) {}
