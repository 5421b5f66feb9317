package ferngrade.http;

import ferngrade.transport.PendingReads;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/**
 * One connection to the frontend, a client's or a worker's with callbacks: what it is doing, the
 * responses on it, and its close. What is read from it comes through {@link
 * ClientConnectionHandler}. It carries one request at a time and closes behind the last response.
 * Belongs to the event loop.
 */
final class ClientConnection implements ManagedConnection {
  private final HttpFrontend front;
  private final ConnectionTable<ClientConnection> connections;
  private final ClientRequestHandler requests;
  private final ClientConnectionHandler reader;

  /** Since when it may have waited to be accepted, ms on the clock. */
  private final double acceptedSince;

  private Channel channel;
  private ConnectionState state = ConnectionState.UNREAD;

  /** It closes behind the response to the last request read; what else arrives is rejected. */
  private boolean closeRequested;

  /** Nothing more is read until the connection closes behind its last response. */
  private boolean readingEnded;

  private boolean trusted;

  /** The job in progress; null if there is none. */
  private String jobId;

  /** The response to a request in bytes that are still being decoded; null if there is none. */
  private FullHttpResponse deferred;

  ClientConnection(
      HttpFrontend front,
      ClientRequestHandler requests,
      ClientConnectionHandler reader,
      double acceptedSince) {
    this.front = front;
    this.connections = front.connections();
    this.requests = requests;
    this.reader = reader;
    this.acceptedSince = acceptedSince;
  }

  /** The connection has been accepted. */
  void opened(Channel accepted) {
    channel = accepted;
    connections.opened(this);
  }

  /** The connection has ended, from whichever side. */
  void ended() {
    front.closed(this);
    clientGone();
  }

  @Override
  public ConnectionState state() {
    return state;
  }

  @Override
  public boolean trusted() {
    return trusted;
  }

  @Override
  public ForcedCloses.Closed asClosed(double now) {
    return new ForcedCloses.Closed(state, trusted, reader.bytes().count(), now - acceptedSince);
  }

  // ---- The request in progress ----

  /** True if the next request that is read can be handled at once. */
  boolean canBegin() {
    return !handlesRequest() && state != ConnectionState.CLOSING;
  }

  /** True while a request is being handled or its response waits for the peer to read. */
  boolean handlesRequest() {
    return state == ConnectionState.BUSY || state == ConnectionState.RESPONDING;
  }

  /** A request is being handled from here on. */
  void begin() {
    state = ConnectionState.BUSY;
    connections.busy(this);
  }

  /** All that had come has been read; {@code partialRequest} if it ends within a request. */
  void read(boolean partialRequest) {
    if (canBegin()) {
      state = partialRequest ? ConnectionState.RECEIVING : ConnectionState.RESTING;
      if (partialRequest) {
        connections.receiving(this);
      }
    }
  }

  /** The connection closes behind the response to the last request that has been read. */
  void requestClose() {
    closeRequested = true;
  }

  /** True once {@link #requestClose} was called. */
  boolean closeRequested() {
    return closeRequested;
  }

  /** Nothing more is read until the last response is written. */
  void endReading() {
    readingEnded = true;
    channel.config().setAutoRead(false);
  }

  /** Nothing more is read until {@link #resumeReading}. */
  void pauseReading() {
    channel.config().setAutoRead(false);
  }

  /** Goes on reading, at once with what has come meanwhile, unless reading has ended. */
  void resumeReading() {
    if (!readingEnded) {
      channel.config().setAutoRead(true);
      PendingReads.read((AbstractNioChannel) channel);
    }
  }

  /** The request in progress is a job. */
  void jobStarted(String id) {
    jobId = id;
  }

  /** The request in progress has not become a job after all. */
  void jobNotStarted() {
    jobId = null;
  }

  /**
   * True while a response to the request in progress has neither been made nor is owed by a job.
   */
  boolean unanswered() {
    return jobId == null && deferred == null;
  }

  /** A job, or a callback of one, has come on this connection. */
  void trust() {
    trusted = true;
  }

  /** False if the client has closed its connection, even if the loop has not read that yet. */
  boolean clientPresent() {
    boolean present = readPending();
    if (!present) {
      clientGone();
    }
    return present;
  }

  @Override
  public boolean readPending() {
    return PendingReads.openAfterReading((AbstractNioChannel) channel, reader.bytes()::count);
  }

  private void clientGone() {
    if (jobId != null) {
      requests.clientGone(jobId);
      jobId = null;
      front.jobEnded();
    }
  }

  // ---- Responses ----

  /** Responds to the request in progress, and closes behind that. */
  void respondAndClose(HttpResponseStatus status, String body) {
    closeRequested = true;
    respond(status, body);
  }

  /** Responds to the request in progress. */
  void respond(HttpResponseStatus status, String body) {
    ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
    respond(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content));
  }

  /** Responds to the request in progress. */
  void respond(FullHttpResponse response) {
    // While bytes are being decoded, it is not known yet whether a response is the last.
    if (reader.bytes().decoding()) {
      deferred = response;
      return;
    }
    boolean wasJob = jobId != null;
    jobId = null;
    boolean keep = !lastResponse();
    if (!response.status().equals(HttpResponseStatus.NO_CONTENT)) {
      HttpUtil.setContentLength(response, response.content().readableBytes());
    }
    if (!keep) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    ChannelFuture written = channel.writeAndFlush(response);
    if (written.isDone()) {
      // A listener would run in a later task where many responses follow each other.
      written(written.isSuccess(), wasJob, keep);
      return;
    }
    state = ConnectionState.RESPONDING;
    connections.await(this);
    if (!keep) {
      // What cannot be answered any more is not read.
      endReading();
    }
    written.addListener(future -> written(future.isSuccess(), wasJob, keep));
  }

  private void written(boolean success, boolean wasJob, boolean keep) {
    if (wasJob) {
      front.jobEnded();
    }
    if (!success) {
      channel.close();
    } else if (keep) {
      next();
    } else {
      closeGracefully();
    }
  }

  /** Writes the response that waited for the end of the decoding, if there is one. */
  void respondDeferred() {
    FullHttpResponse response = deferred;
    deferred = null;
    if (response != null) {
      respond(response);
    }
  }

  /**
   * True if the connection closes behind the present response: not while another is owed for what
   * has been read.
   */
  private boolean lastResponse() {
    boolean draining = front.draining() && !reader.bytes().holdsPartialRequest();
    return !reader.hasPipelined() && (closeRequested || draining);
  }

  /** No request is in progress any more: goes on with the next that has been read, if any. */
  void next() {
    if (reader.beginPipelined()) {
      return;
    }
    if (reader.bytes().holdsPartialRequest()) {
      state = ConnectionState.RECEIVING;
      connections.await(this);
    } else {
      state = ConnectionState.RESTING;
      front.rest(this);
    }
  }

  // ---- Closing ----

  /**
   * Closes the connection behind its last response, or while it rests. Closing with bytes unread
   * would reset it and could lose a response on its way to a client that still sends: so only the
   * outgoing direction is shut down, and what arrives is dropped until the client closes or the
   * timeout for that ends.
   */
  void closeGracefully() {
    if (state == ConnectionState.CLOSING) {
      return;
    }
    state = ConnectionState.CLOSING;
    connections.await(this);
    ((DuplexChannel) channel).shutdownOutput();
    channel.config().setAutoRead(true);
  }

  /**
   * Closes a connection that rests, unless a request lies there unread: that is handled, and closes
   * the connection with its response.
   */
  void closeAfterReading() {
    if (canBegin() && readPending() && state == ConnectionState.RESTING) {
      closeGracefully();
    }
  }

  @Override
  public void timedOut() {
    if (state == ConnectionState.CLOSING) {
      channel.close();
    } else if (state == ConnectionState.RECEIVING) {
      rejectPartialRequest(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come whole");
    } else {
      closeGracefully();
    }
  }

  /** The process ends: a request that has arrived in part is rejected. */
  void rejectUnfinished() {
    if (state == ConnectionState.RECEIVING) {
      rejectPartialRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    }
  }

  @Override
  public void evict() {
    if (state == ConnectionState.RECEIVING) {
      rejectPartialRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    } else {
      channel.close();
    }
  }

  private void rejectPartialRequest(HttpResponseStatus status, String body) {
    begin();
    reader.bytes().endDecoding();
    respondAndClose(status, body);
    // The memory of the request is freed at once, and not when the client closes.
    channel.pipeline().remove(BodyAggregator.class);
  }
}
