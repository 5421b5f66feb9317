package ferngrade.http;

import ferngrade.node.MemoryBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes the bytes of one client connection to its decoder, no faster than {@link RequestPacer}
 * allows: while requests wait for the next turn, no more bytes are read. Tracks the number of bytes
 * read and their earliest arrival time. First handler of the pipeline. Confined to the event loop.
 */
final class RequestBytesReader extends ChannelInboundHandlerAdapter {
  /**
   * The maximum number of bytes read, while a request is in progress, from a connection that closes
   * after the response to that request. The remaining bytes are left unread. Up to this limit
   * everything is read, because only reading shows that a client has closed its connection.
   */
  private static final int MAX_READ_WHILE_CLOSING_BYTES = 256 << 10;

  private final ClientConnection connection;
  private final RequestPacer pacer;
  private final ArrivalClock arrivals;
  private final RequestPacer.Share share;
  private final RequestDecoder decoder = new RequestDecoder(this::mayDecodeAnother);

  /** The bytes that were read while the decoder was paused. */
  private final UndecodedBytes undecoded = new UndecodedBytes();

  /** The handler that holds the decoded part of a request. */
  private final BodyAggregator aggregator;

  /** The memory of the requests that have not arrived completely. */
  private final MemoryBudget.Reservation reservation;

  private ChannelHandlerContext context;
  private long bytesRead;
  private int readWhileClosing;
  private boolean decoding;
  private boolean decodingEnded;

  /** True if a part of a request has been read, but not its end. */
  private boolean partialRequest;

  private final double acceptedSince;

  /** The turn of the event loop in which the connection was accepted. */
  private final long acceptTurn;

  /**
   * The earliest time at which the bytes read last may have arrived on this machine, in ms on the
   * node's clock.
   */
  private double arrivedAt;

  /**
   * The earliest time at which bytes may have entered the socket while reading was paused, in ms;
   * NaN if there are none.
   */
  private double unreadSince = Double.NaN;

  /** True if a pipelined request waits for the next turn. */
  private boolean beginDeferred;

  private boolean resumeScheduled;

  /**
   * Creates the reader of a connection that may have waited in the backlog since {@code
   * acceptedSince}, in ms on the node's clock.
   */
  RequestBytesReader(
      ClientConnection connection,
      RequestPacer pacer,
      BodyAggregator aggregator,
      MemoryBudget memory,
      double acceptedSince) {
    this.connection = connection;
    this.aggregator = aggregator;
    this.reservation = memory.newReservation(MemoryBudget.Use.PARTIAL_REQUESTS);
    this.pacer = pacer;
    this.arrivals = pacer.arrivals();
    this.share = pacer.newShare();
    this.acceptedSince = acceptedSince;
    this.acceptTurn = arrivals.turn();
    this.arrivedAt = acceptedSince;
  }

  /** Returns the decoder that follows this handler in the pipeline. */
  RequestDecoder decoder() {
    return decoder;
  }

  /** Returns the total number of bytes read. */
  long bytesRead() {
    return bytesRead;
  }

  /** Returns true while bytes that have just been read are being decoded. */
  boolean decoding() {
    return decoding;
  }

  /** Returns true if a part of a request has been read, but not its end. */
  boolean holdsPartialRequest() {
    return partialRequest;
  }

  /** Returns true if undecoded bytes are buffered, which may contain complete requests. */
  boolean holdsUndecoded() {
    return decoder.paused() && !decodingEnded;
  }

  /**
   * Returns the earliest time at which the bytes read last may have arrived on this machine, in ms
   * on the node's clock.
   */
  double arrivedAt() {
    return arrivedAt;
  }

  /**
   * Stops decoding, also of the bytes that have already been read, after the connection has ended.
   */
  void endDecoding() {
    decodingEnded = true;
    undecoded.release();
    reservation.release();
  }

  /**
   * Stops decoding, and frees the memory of the bytes that belong to no complete request. Must not
   * be called while bytes are being decoded.
   */
  void discardInput() {
    if (!decodingEnded) {
      endDecoding();
      partialRequest = false;
      // Without the aggregator, what the decoder still holds ends at the last handler.
      context.pipeline().remove(aggregator);
      context.pipeline().remove(decoder);
    }
  }

  /** Returns true if memory is held for requests that have not arrived completely. */
  boolean holdsInput() {
    return reservation.bytes() > 0;
  }

  /** Adjusts the reservation to the memory held, which may evict this connection or others. */
  private void updateReservation() {
    if (!decodingEnded) {
      long decoded = aggregator.dropping() ? 0 : decoder.decodedBytes();
      reservation.resize(undecoded.size() + decoder.undecodedBytes() + decoded);
    }
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
      bufferUndecoded(bytes);
      updateReservation();
    } else {
      arrivedAt = earliestArrival();
      decode(bytes);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (connection.state() == ConnectionState.UNREAD) {
      connection.readCompleted(false);
    }
    if (!decoder.paused()) {
      unreadSince = Double.NaN;
    }
    ctx.fireChannelReadComplete();
  }

  private void count(int bytes) {
    bytesRead += bytes;
    readWhileClosing += connection.closeRequested() ? bytes : 0;
    if (connection.handlesRequest() && readWhileClosing > MAX_READ_WHILE_CLOSING_BYTES) {
      connection.endReading();
    }
  }

  /**
   * Buffers bytes read while decoding is paused; such reads only serve to detect that the client
   * has closed its connection.
   */
  private void bufferUndecoded(ByteBuf bytes) {
    if (!undecoded.add(bytes)) {
      connection.requestClose();
    }
  }

  private double earliestArrival() {
    if (!Double.isNaN(unreadSince)) {
      return unreadSince;
    }
    // Bytes that arrived before the connection was accepted are read by the end of the turn after
    // the accept.
    return arrivals.turn() <= acceptTurn + 1 ? acceptedSince : arrivals.earliestArrival();
  }

  // ---- Decoding ----

  private boolean mayDecode() {
    return mayBegin() && !decodingEnded;
  }

  private boolean mayBegin() {
    return context.channel().isActive() && connection.state() != ConnectionState.CLOSING;
  }

  /**
   * Returns true if another request may be decoded: requests already decoded are answered first.
   */
  private boolean mayDecodeAnother() {
    return !beginDeferred && share.tryAcquire();
  }

  private void decode(ByteBuf bytes) {
    decoding = true;
    context.fireChannelRead(bytes);
    decoding = false;
    partialRequest = decoder.holdsPartialRequest() || !undecoded.isEmpty();
    connection.readCompleted(partialRequest);
    connection.respondDeferred();
    if (decoder.paused() && mayDecode()) {
      unreadSince = arrivedAt;
      connection.pauseReading();
      resumeLater();
    }
    updateReservation();
  }

  /**
   * Returns true if the next pipelined request may begin in this turn; otherwise it begins in the
   * next turn.
   */
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
    if (beginDeferred && mayBegin()) {
      beginDeferred = false;
      connection.beginNext();
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
