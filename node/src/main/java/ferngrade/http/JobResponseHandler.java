package ferngrade.http;

import ferngrade.node.ResponseHandler;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;

/** Writes the final answer to a job on the connection on which the job arrived. */
final class JobResponseHandler implements ResponseHandler {
  private final ClientConnection connection;

  JobResponseHandler(ClientConnection connection) {
    this.connection = connection;
  }

  @Override
  public void served(String result) {
    connection.respond(HttpResponseStatus.OK, result);
  }

  @Override
  public void rejected(double retryAfter) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
    if (retryAfter > 0) {
      response
          .headers()
          .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfter / 1000));
    }
    connection.respond(response);
  }

  @Override
  public void failed() {
    connection.respond(HttpResponseStatus.BAD_GATEWAY, "");
  }

  @Override
  public void idInUse() {
    connection.respondAndClose(HttpResponseStatus.BAD_REQUEST, ClientRequestHandler.ID_USED);
  }

  @Override
  public boolean clientPresent() {
    return connection.clientPresent();
  }
}
