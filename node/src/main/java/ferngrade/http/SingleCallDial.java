package ferngrade.http;

import ferngrade.transport.Dialer;
import ferngrade.transport.FaultOrigin;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.net.InetSocketAddress;
import java.util.List;

/** Makes one call to another process of this node on a separate connection. */
final class SingleCallDial implements Dialer.Listener, PeerConnection.Owner {
  private final PeerCall call;
  private final Runnable whenRefused;

  SingleCallDial(PeerCall call, Runnable whenRefused) {
    this.call = call;
    this.whenRefused = whenRefused;
  }

  void dial(Dialer dialer, InetSocketAddress address) {
    dialer.dial(address, call.timeout(), this);
  }

  @Override
  public boolean isStillNeeded() {
    return !call.ended();
  }

  @Override
  public void connected(Channel channel) {
    PeerConnection connection = PeerConnection.opened(channel, this);
    if (call.ended()) {
      connection.close();
      return;
    }
    call.setOwnConnection(connection);
    connection.write(call, HttpHeaderValues.CLOSE);
  }

  @Override
  public void failed(FaultOrigin origin, Throwable cause) {
    if (PeerConnection.showsNoListener(origin, cause)) {
      whenRefused.run();
    }
    call.end(PeerCall.NO_ANSWER);
  }

  @Override
  public void answered(PeerCall answered, int status) {
    call.end(status);
  }

  @Override
  public void answeredAndClosed(PeerCall answered, int status, List<PeerCall> unanswered) {
    call.end(status);
  }

  @Override
  public void connectionLost(List<PeerCall> unanswered) {
    call.end(PeerCall.NO_ANSWER);
  }
}
