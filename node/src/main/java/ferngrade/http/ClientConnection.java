package ferngrade.http;

import ferngrade.node.MemoryBudget;
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
 * One connection to the frontend, opened by a client or by a worker that sends callbacks. Tracks
 * the state of the connection, writes its responses, and closes it. {@link ClientConnectionHandler}
 * reads its requests. The connection handles one request at a time and closes after its last
 * response. Confined to the event loop.
 */
final class ClientConnection implements ManagedConnection {
  /** The memory of a response without its body, in bytes. */
  private static final int RESPONSE_HEAD_BYTES = 512;

  private final HttpFrontend frontend;
  private final ConnectionTable<ClientConnection> connections;
  private final ClientRequestHandler requests;
  private final ClientConnectionHandler handler;

  /**
   * The earliest time at which the connection may have entered the accept backlog, in ms on the
   * node's clock.
   */
  private final double acceptedSince;

  /** The memory of a response that the peer has not read. */
  private final MemoryBudget.Reservation unreadResponse;

  private Channel channel;
  private ConnectionState state = ConnectionState.UNREAD;

  /**
   * True if the connection closes after the response to the last request read; requests that arrive
   * later are rejected.
   */
  private boolean closeRequested;

  /** True if nothing more is read before the connection closes after its last response. */
  private boolean readingEnded;

  private boolean trusted;

  /** The id of the job in progress; null if there is none. */
  private String jobId;

  /** The response to a request whose bytes are still being decoded; null if there is none. */
  private FullHttpResponse deferredResponse;

  ClientConnection(
      HttpFrontend frontend,
      ClientRequestHandler requests,
      ClientConnectionHandler handler,
      double acceptedSince) {
    this.frontend = frontend;
    this.connections = frontend.connections();
    this.requests = requests;
    this.handler = handler;
    this.acceptedSince = acceptedSince;
    this.unreadResponse = frontend.memory().newReservation(MemoryBudget.Use.RESPONSES);
  }

  /** Registers the accepted connection. */
  void opened(Channel accepted) {
    channel = accepted;
    connections.opened(this);
  }

  /** Handles the end of the connection, closed by either side. */
  void ended() {
    frontend.closed(this);
    clientDisconnected();
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
  public ForcedCloses.ConnectionSnapshot snapshot(double now) {
    return new ForcedCloses.ConnectionSnapshot(
        state, trusted, handler.bytesReader().bytesRead(), now - acceptedSince);
  }

  // ---- The request in progress ----

  /** Returns true if the next request can be handled at once. */
  boolean canBegin() {
    return !handlesRequest() && state != ConnectionState.CLOSING;
  }

  /**
   * Returns true while a request is being handled or its response waits for the peer to read it.
   */
  boolean handlesRequest() {
    return state == ConnectionState.BUSY || state == ConnectionState.RESPONDING;
  }

  /** Marks a request as being handled. */
  void begin() {
    state = ConnectionState.BUSY;
    connections.busy(this);
  }

  /**
   * Updates the state after all available bytes were read; {@code partialRequest} is true if they
   * end within a request.
   */
  void readCompleted(boolean partialRequest) {
    if (canBegin()) {
      state = partialRequest ? ConnectionState.RECEIVING : ConnectionState.RESTING;
      if (partialRequest) {
        connections.receiving(this);
      }
    }
  }

  /** Closes the connection after the response to the last request that has been read. */
  void requestClose() {
    closeRequested = true;
  }

  /** Returns true after {@link #requestClose} was called. */
  boolean closeRequested() {
    return closeRequested;
  }

  /** Stops reading until the last response is written. */
  void endReading() {
    readingEnded = true;
    channel.config().setAutoRead(false);
  }

  /** Stops reading until {@link #resumeReading} is called. */
  void pauseReading() {
    channel.config().setAutoRead(false);
  }

  /**
   * Resumes reading, and reads at once the bytes that have arrived meanwhile, unless {@link
   * #endReading} was called.
   */
  void resumeReading() {
    if (!readingEnded) {
      channel.config().setAutoRead(true);
      PendingReads.read((AbstractNioChannel) channel);
    }
  }

  /** Records that the request in progress is a job. */
  void jobStarted(String id) {
    jobId = id;
  }

  /** Records that the request in progress did not become a job. */
  void jobNotStarted() {
    jobId = null;
  }

  /**
   * Returns true while the request in progress has neither a response nor a job in flight that will
   * produce one.
   */
  boolean unanswered() {
    return jobId == null && deferredResponse == null;
  }

  /** Marks the connection as trusted: a job, or a callback for a job, has arrived on it. */
  void trust() {
    trusted = true;
  }

  /**
   * Returns false if the client has closed its connection, even if the event loop has not read the
   * close yet.
   */
  boolean clientPresent() {
    boolean present = readPending();
    if (!present) {
      clientDisconnected();
    }
    return present;
  }

  @Override
  public boolean readPending() {
    return PendingReads.readAndCheckOpen(
        (AbstractNioChannel) channel, handler.bytesReader()::bytesRead);
  }

  private void clientDisconnected() {
    if (jobId != null) {
      requests.clientDisconnected(jobId);
      jobId = null;
      frontend.jobEnded();
    }
  }

  // ---- Responses ----

  /** Writes the response to the request in progress and closes the connection after it. */
  void respondAndClose(HttpResponseStatus status, String body) {
    closeRequested = true;
    respond(status, body);
  }

  /** Writes the response to the request in progress. */
  void respond(HttpResponseStatus status, String body) {
    ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
    respond(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content));
  }

  /** Writes the response to the request in progress. */
  void respond(FullHttpResponse response) {
    // Whether a response is the last one is only known when all bytes read are decoded.
    if (handler.bytesReader().decoding()) {
      deferredResponse = response;
      return;
    }
    boolean wasJob = jobId != null;
    jobId = null;
    boolean keepAlive = !lastResponse();
    if (!response.status().equals(HttpResponseStatus.NO_CONTENT)) {
      HttpUtil.setContentLength(response, response.content().readableBytes());
    }
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    int responseBytes = RESPONSE_HEAD_BYTES + response.content().readableBytes();
    ChannelFuture written = channel.writeAndFlush(response);
    if (written.isDone()) {
      // With many responses in a row, a listener would run in a later task of the event loop.
      written(written.isSuccess(), wasJob, keepAlive);
      return;
    }
    state = ConnectionState.RESPONDING;
    connections.awaitPeer(this);
    unreadResponse.resize(responseBytes);
    if (!keepAlive) {
      // Requests that can no longer be answered are not read.
      endReading();
    }
    written.addListener(future -> written(future.isSuccess(), wasJob, keepAlive));
  }

  private void written(boolean success, boolean wasJob, boolean keepAlive) {
    unreadResponse.release();
    if (wasJob) {
      frontend.jobEnded();
    }
    if (!success) {
      channel.close();
    } else if (keepAlive) {
      beginNext();
    } else {
      closeGracefully();
    }
  }

  /** Writes the response that was deferred until the end of the decoding, if any. */
  void respondDeferred() {
    FullHttpResponse response = deferredResponse;
    deferredResponse = null;
    if (response != null) {
      respond(response);
    }
  }

  /**
   * Returns true if the connection closes after the present response, which is never the case while
   * another request that has been read needs a response.
   */
  private boolean lastResponse() {
    boolean draining = frontend.draining() && !handler.bytesReader().holdsPartialRequest();
    return !handler.hasPipelined() && (closeRequested || draining);
  }

  /**
   * Handles the next request that has been read, or marks the connection as having no request in
   * progress.
   */
  void beginNext() {
    if (handler.beginPipelined()) {
      return;
    }
    if (handler.bytesReader().holdsPartialRequest()) {
      state = ConnectionState.RECEIVING;
      connections.awaitPeer(this);
    } else {
      state = ConnectionState.RESTING;
      frontend.betweenRequests(this);
    }
  }

  // ---- Closing ----

  /**
   * Closes the connection after its last response, or between two requests. Closing the socket with
   * unread bytes would reset the connection, and a client that is still sending could lose the
   * response. Therefore only the outgoing direction is shut down; incoming bytes are dropped until
   * the client closes or the timeout expires.
   */
  void closeGracefully() {
    if (state == ConnectionState.CLOSING) {
      return;
    }
    state = ConnectionState.CLOSING;
    connections.awaitPeer(this);
    handler.bytesReader().discardInput();
    ((DuplexChannel) channel).shutdownOutput();
    channel.config().setAutoRead(true);
  }

  /**
   * Closes a connection without a request in progress, unless an unread request is in the socket:
   * the request is handled, and its response closes the connection.
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

  /** Rejects a partially received request because the process is ending. */
  void rejectIfPartial() {
    if (state == ConnectionState.RECEIVING) {
      rejectPartialRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    }
  }

  /**
   * Frees the memory of input behind the request in progress, if there is any. The connection then
   * closes after the response to the last complete request.
   */
  void discardPipelinedInput() {
    RequestBytesReader reader = handler.bytesReader();
    if (handlesRequest() && reader.holdsInput() && !reader.decoding()) {
      requestClose();
      reader.discardInput();
      if (!readingEnded) {
        // Only reading shows that a client has closed its connection.
        channel.config().setAutoRead(true);
      }
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
    handler.bytesReader().discardInput();
    respondAndClose(status, body);
  }
}
