package ferngrade.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes the bytes of one client connection to its decoder, no faster than {@link RequestPacer}
 * allows: while requests wait for the next turn nothing more is read. It knows what has been read,
 * and since when that may have been on this machine. Stands first in the pipeline. Belongs to the
 * event loop.
 */
final class RequestBytesReader extends ChannelInboundHandlerAdapter {
  /**
   * Bytes read, while a request is in progress, from a connection that is closing anyway; the rest
   * is left to its sender. Until then all is read: only reading shows that a client has closed.
   */
  private static final int MAX_READ_WHILE_CLOSING = 256 << 10;

  private final ClientConnection connection;
  private final RequestPacer pacer;
  private final ArrivalClock arrivals;
  private final RequestPacer.Share share;
  private final RequestDecoder decoder = new RequestDecoder(this::mayDecodeAnother);

  /** What has been read while the decoder was paused. */
  private final UndecodedBytes undecoded = new UndecodedBytes();

  private ChannelHandlerContext context;
  private long bytesRead;
  private int readWhileClosing;
  private boolean decoding;
  private boolean decodingEnded;

  /** A part of a request has been read, and not its end. */
  private boolean partialRequest;

  private final double acceptedSince;

  /** The loop's turn in which the connection was accepted. */
  private final long acceptTurn;

  /** Since when the bytes read last may have been on this machine, ms on the clock. */
  private double arrived;

  /** Since when bytes may lie in the socket because reading was paused, ms; NaN if none do. */
  private double unreadSince = Double.NaN;

  /** A pipelined request waits for the next turn. */
  private boolean beginDeferred;

  private boolean resumeScheduled;

  /** For a connection that may have waited to be accepted since {@code acceptedSince}, ms. */
  RequestBytesReader(ClientConnection connection, RequestPacer pacer, double acceptedSince) {
    this.connection = connection;
    this.pacer = pacer;
    this.arrivals = pacer.arrivals();
    this.share = pacer.newShare();
    this.acceptedSince = acceptedSince;
    this.acceptTurn = arrivals.turn();
    this.arrived = acceptedSince;
  }

  /** The decoder that stands behind this handler. */
  RequestDecoder decoder() {
    return decoder;
  }

  /** All bytes that have been read so far. */
  long count() {
    return bytesRead;
  }

  /** True while bytes that have just been read are being decoded. */
  boolean decoding() {
    return decoding;
  }

  /** True if a part of a request has been read, and not its end. */
  boolean holdsPartialRequest() {
    return partialRequest;
  }

  /** True if bytes wait to be decoded, which may hold whole requests. */
  boolean holdsUndecoded() {
    return decoder.paused() && !decodingEnded;
  }

  /** Since when the bytes read last may have been on this machine, ms on the clock. */
  double arrived() {
    return arrived;
  }

  /** Nothing more is decoded, of what has been read either. */
  void endDecoding() {
    decodingEnded = true;
    undecoded.release();
  }

  // ---- Reads ----

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    count(bytes.readableBytes());
    if (!mayDecode() || undecoded.overflowed()) {
      ReferenceCountUtil.release(bytes);
    } else if (decoder.paused()) {
      keepUndecoded(bytes);
    } else {
      arrived = arrivedSince();
      decode(bytes);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (connection.state() == ConnectionState.UNREAD) {
      connection.read(false);
    }
    if (!decoder.paused()) {
      unreadSince = Double.NaN;
    }
    ctx.fireChannelReadComplete();
  }

  private void count(int bytes) {
    bytesRead += bytes;
    readWhileClosing += connection.closeRequested() ? bytes : 0;
    if (connection.handlesRequest() && readWhileClosing > MAX_READ_WHILE_CLOSING) {
      connection.endReading();
    }
  }

  /** Reads while decoding is paused only look whether the client has closed its connection. */
  private void keepUndecoded(ByteBuf bytes) {
    if (!undecoded.add(bytes)) {
      connection.requestClose();
    }
  }

  private double arrivedSince() {
    if (!Double.isNaN(unreadSince)) {
      return unreadSince;
    }
    // What came before a connection was accepted is read by the turn after that.
    return arrivals.turn() <= acceptTurn + 1 ? acceptedSince : arrivals.since();
  }

  // ---- Decoding ----

  private boolean mayDecode() {
    return context.channel().isActive()
        && connection.state() != ConnectionState.CLOSING
        && !decodingEnded;
  }

  /** What has been decoded is answered before more is. */
  private boolean mayDecodeAnother() {
    return !beginDeferred && share.tryAcquire();
  }

  private void decode(ByteBuf bytes) {
    decoding = true;
    context.fireChannelRead(bytes);
    decoding = false;
    partialRequest = decoder.holdsPartialRequest() || !undecoded.isEmpty();
    connection.read(partialRequest);
    connection.respondDeferred();
    if (decoder.paused()) {
      unreadSince = arrived;
      connection.pauseReading();
      resumeLater();
    }
  }

  /** True if the next pipelined request may begin in this turn; else it does in the next one. */
  boolean mayBeginNow() {
    beginDeferred = !share.tryAcquire();
    if (beginDeferred) {
      resumeLater();
    }
    return !beginDeferred;
  }

  private void resumeLater() {
    if (!resumeScheduled) {
      resumeScheduled = true;
      pacer.nextTurn(this::resume);
    }
  }

  private void resume() {
    resumeScheduled = false;
    if (beginDeferred && mayDecode()) {
      beginDeferred = false;
      connection.next();
    }
    if (decoder.paused() && mayDecode()) {
      resumeDecoding();
    }
  }

  private void resumeDecoding() {
    decode(Unpooled.EMPTY_BUFFER);
    while (!undecoded.isEmpty() && !decoder.paused() && mayDecode()) {
      decode(undecoded.poll());
    }
    if (!decoder.paused() && mayDecode()) {
      connection.resumeReading();
    }
  }
}
