package ferngrade.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import com.eclipsesource.json.Json;
import ferngrade.config.SettingsMapping;
import ferngrade.dispatch.Job;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the conversion of request headers to a job. */
public class RequestReaderTest {
  @DataProvider
  public Object[][] deadlines() {
    return new Object[][] {
      {"480m", 480.0}, {"480000u", 480.0}, {"0.5m", 0.5}, {null, 9000.0}, {"999999999999m", 9000.0}
    };
  }

  @Test(dataProvider = "deadlines")
  public void parsesTheDeadlineWithItsUnitAndLimitsItToTheClass(String text, double millis)
      throws BadRequestException {
    assertEquals(read("Req-Deadline", text), new Job("a", 1, 1, 100 + millis, 1.5, 2, 0.5, 0));
  }

  private static Job read(String header, String value) throws BadRequestException {
    SettingsMapping settings = new SettingsMapping();
    settings.put(
        Json.parse(
                "{\"Classes\":[{\"Name\":\"plan\"},{\"Name\":\"order\",\"Deadline\":9000}],"
                    + "\"Tenants\":[{\"Name\":\"s\"},{\"Name\":\"t\"}]}")
            .asObject());
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api");
    HttpHeaders headers =
        request
            .headers()
            .set("req-id", "a")
            .set("Req-Kind", "order")
            .set("Req-Owner", "t")
            .set("Req-Cost", "1500")
            .set("Req-Extra", "slots=2,other=x,memory=0.5");
    if (value != null) {
      headers.set(header, value);
    }
    return new RequestReader(settings.build()).job(request, 100);
  }

  @Test
  public void readsTheObjectFromItsCookieAndIgnoresInvalidCookies() throws BadRequestException {
    long object = read("Cookie", "obj=7f3a9c21e0b4d655").object();
    assertNotEquals(object, 0L);
    assertEquals(read("Cookie", "a=b; obj=7f3a9c21e0b4d655; c=d").object(), object);
    assertNotEquals(read("Cookie", "obj=7f3a9c21e0b4d656").object(), object);
    for (String cookies :
        new String[] {null, "", ";;=;", "obj", "objx=1", "obj=", "\"obj", "=obj"}) {
      assertEquals(read("Cookie", cookies).object(), 0L, "" + cookies);
    }
  }
}
