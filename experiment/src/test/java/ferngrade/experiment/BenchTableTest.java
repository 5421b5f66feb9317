package ferngrade.experiment;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.toml.FileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the page that summarizes a bench's journal. */
class BenchTableTest {
  @TempDir private Path folder;

  private void writeEntry(String name, String build, double score, boolean ok) throws IOException {
    String text =
        "{'cmd':'real-score','ok':"
            + ok
            + ",'site':'s','at':['"
            + name
            + "',''],'panel':'real:s:1:calm:quick','figures':{'real_score':"
            + score
            + ",'gate':1.0},'node_sha':'"
            + build
            + "','policy':[{'sha256':'abcdef'}],'days':[{'name':'calm','seed':7,'G':0.9,'G_floor':0.5,'G_top':1.0,'score':"
            + score
            + "}]}";
    Files.writeString(folder.resolve(name + ".json"), text.replace('\'', '"'));
  }

  @Test
  void pageShowsLastPlayPreviousBuildAndSpreadOfEqualPlays() throws IOException, FileException {
    writeEntry("1", "aaaa1", 0.5, true);
    writeEntry("2", "bbbb1", 0.8, true);
    writeEntry("3", "bbbb1", 0.7, true);
    writeEntry("4", "bbbb1", 0.1, false);
    String page = new BenchTable(folder).markdown();
    assertTrue(page.contains("| s | calm:quick | 0.700 | passed | bbbb-abcd | 3 | 3 |"), page);
    assertTrue(
        page.contains("| s | calm | 0.70 | 0.900 | 0.500 | 1.000 | bbbb-abcd | 0.50 | 3 | 0.10 |"),
        page);
  }

  @Test
  void malformedEntryIsNamedInTheError() throws IOException {
    Files.writeString(folder.resolve("9.json"), "{");
    FileException exception = assertThrows(FileException.class, () -> new BenchTable(folder));
    assertTrue(exception.getMessage().contains("9.json"), exception.getMessage());
  }
}
