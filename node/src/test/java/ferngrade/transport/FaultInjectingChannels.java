package ferngrade.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * Opens ordinary channels and makes their system calls fail as a test requests, one type of call
 * for one purpose at a time.
 */
public final class FaultInjectingChannels implements ChannelProvider {
  /** A system call that can be made to fail. */
  public enum SystemCall {
    SOCKET,
    ACCEPT,
    CONNECT,
    READ,
    WRITE,
    SEND,
    RECEIVE
  }

  /** The number of faults injected so far. */
  public final AtomicInteger injectedFaults = new AtomicInteger();

  /** Limits every read and every write to one byte. */
  public volatile boolean oneByteTransfers;

  /** The send buffer size in bytes of each outgoing connection; 0 for the system default. */
  public volatile int sendBufferBytes;

  private volatile Fault fault;

  private record Fault(Purpose purpose, SystemCall call, Errno errno, BooleanSupplier shouldFail) {}

  /**
   * Makes this call fail from now on whenever {@code shouldFail} returns true. The purpose is null
   * for datagrams, which have none.
   */
  public void fail(Purpose purpose, SystemCall call, Errno errno, BooleanSupplier shouldFail) {
    fault = new Fault(purpose, call, errno, shouldFail);
  }

  /** Returns a condition that is true for the first call only. */
  public static BooleanSupplier once() {
    AtomicInteger calls = new AtomicInteger();
    return () -> calls.getAndIncrement() == 0;
  }

  /** Returns a condition that is true for the first call and for every second call after it. */
  public static BooleanSupplier everySecondCall() {
    AtomicInteger calls = new AtomicInteger();
    return () -> calls.getAndIncrement() % 2 == 0;
  }

  private boolean takeFault(Purpose purpose, SystemCall call) {
    Fault current = fault;
    boolean injected =
        current != null
            && current.purpose() == purpose
            && current.call() == call
            && current.shouldFail().getAsBoolean();
    if (injected) {
      injectedFaults.incrementAndGet();
    }
    return injected;
  }

  private void throwIfInjected(Purpose purpose, SystemCall call) throws IOException {
    if (takeFault(purpose, call)) {
      throw call == SystemCall.CONNECT ? fault.errno().ofConnect() : fault.errno().ofTransfer();
    }
  }

  @Override
  public ServerChannel listener(Purpose purpose, ServerSocketChannel inherited) {
    failSocket(purpose);
    return inherited == null ? new Listener(purpose) : new Listener(purpose, inherited);
  }

  @Override
  public Channel connection(Purpose purpose) {
    failSocket(purpose);
    Connection connection = new Connection(purpose);
    if (sendBufferBytes > 0) {
      connection.config().setSendBufferSize(sendBufferBytes);
    }
    return connection;
  }

  private void failSocket(Purpose purpose) {
    if (takeFault(purpose, SystemCall.SOCKET)) {
      throw new ChannelException("Failed to open a socket.", fault.errno().ofConnect());
    }
  }

  @Override
  public Channel datagrams() {
    NioDatagramChannel channel = new NioDatagramChannel();
    channel.pipeline().addFirst(new DatagramFaults());
    return channel;
  }

  private final class Listener extends NioServerSocketChannel {
    private final Purpose purpose;

    Listener(Purpose purpose) {
      this.purpose = purpose;
    }

    Listener(Purpose purpose, ServerSocketChannel inherited) {
      super(inherited);
      this.purpose = purpose;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      throwIfInjected(purpose, SystemCall.ACCEPT);
      SocketChannel socket = javaChannel().accept();
      if (socket == null) {
        return 0;
      }
      accepted.add(new Connection(this, socket, purpose));
      return 1;
    }
  }

  private final class Connection extends NioSocketChannel {
    private final Purpose purpose;

    Connection(Purpose purpose) {
      this.purpose = purpose;
    }

    Connection(Channel parent, SocketChannel socket, Purpose purpose) {
      super(parent, socket);
      this.purpose = purpose;
    }

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
      throwIfInjected(purpose, SystemCall.CONNECT);
      return super.doConnect(remote, local);
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
      throwIfInjected(purpose, SystemCall.READ);
      if (!oneByteTransfers) {
        return super.doReadBytes(into);
      }
      unsafe().recvBufAllocHandle().attemptedBytesRead(1);
      return into.writeBytes(javaChannel(), 1);
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
      throwIfInjected(purpose, SystemCall.WRITE);
      if (!oneByteTransfers) {
        super.doWrite(out);
        return;
      }
      ByteBuf next = (ByteBuf) out.current();
      if (next != null && next.isReadable()) {
        out.removeBytes(javaChannel().write(next.nioBuffer(next.readerIndex(), 1)));
      } else if (next != null) {
        out.remove();
      }
      if (out.isEmpty()) {
        clearOpWrite();
      } else {
        incompleteWrite(true);
      }
    }
  }

  /**
   * Injects faults in the pipeline right behind the datagram channel, since the channel class is
   * final. The pipeline reports them as it reports failures of the channel's own calls.
   */
  private final class DatagramFaults extends ChannelDuplexHandler {
    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      if (takeFault(null, SystemCall.SEND)) {
        ReferenceCountUtil.release(message);
        promise.setFailure(fault.errno().ofConnect());
      } else {
        ctx.write(message, promise);
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (takeFault(null, SystemCall.RECEIVE)) {
        ReferenceCountUtil.release(message);
        ctx.fireExceptionCaught(fault.errno().ofConnect());
      } else {
        ctx.fireChannelRead(message);
      }
    }
  }
}
