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
 * Ordinary channels whose system calls fail as a test asks, one kind of call of one purpose at a
 * time.
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

  /** The faults raised so far. */
  public final AtomicInteger raised = new AtomicInteger();

  /** Every read and every write carries one byte. */
  public volatile boolean oneByte;

  /**
   * Bytes that the system holds back for each connection that the node opens; 0 leaves that to the
   * system.
   */
  public volatile int sendBuffer;

  private volatile Fault fault;

  private record Fault(Purpose purpose, SystemCall call, Errno errno, BooleanSupplier strikes) {}

  /**
   * From now on this call fails whenever {@code strikes} says so; datagrams have no purpose, hence
   * null.
   */
  public void fail(Purpose purpose, SystemCall call, Errno errno, BooleanSupplier strikes) {
    fault = new Fault(purpose, call, errno, strikes);
  }

  /** Strikes once. */
  public static BooleanSupplier once() {
    AtomicInteger calls = new AtomicInteger();
    return () -> calls.getAndIncrement() == 0;
  }

  /** Strikes the first call and every second one from there on. */
  public static BooleanSupplier everySecondCall() {
    AtomicInteger calls = new AtomicInteger();
    return () -> calls.getAndIncrement() % 2 == 0;
  }

  private boolean strikes(Purpose purpose, SystemCall call) {
    Fault present = fault;
    boolean hit =
        present != null
            && present.purpose() == purpose
            && present.call() == call
            && present.strikes().getAsBoolean();
    if (hit) {
      raised.incrementAndGet();
    }
    return hit;
  }

  private void pass(Purpose purpose, SystemCall call) throws IOException {
    if (strikes(purpose, call)) {
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
    if (sendBuffer > 0) {
      connection.config().setSendBufferSize(sendBuffer);
    }
    return connection;
  }

  private void failSocket(Purpose purpose) {
    if (strikes(purpose, SystemCall.SOCKET)) {
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
      pass(purpose, SystemCall.ACCEPT);
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
      pass(purpose, SystemCall.CONNECT);
      return super.doConnect(remote, local);
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
      pass(purpose, SystemCall.READ);
      if (!oneByte) {
        return super.doReadBytes(into);
      }
      unsafe().recvBufAllocHandle().attemptedBytesRead(1);
      return into.writeBytes(javaChannel(), 1);
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
      pass(purpose, SystemCall.WRITE);
      if (!oneByte) {
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
   * The datagram channel is final: its faults are raised right behind it, as it passes on those of
   * its calls.
   */
  private final class DatagramFaults extends ChannelDuplexHandler {
    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      if (strikes(null, SystemCall.SEND)) {
        ReferenceCountUtil.release(message);
        promise.setFailure(fault.errno().ofConnect());
      } else {
        ctx.write(message, promise);
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (strikes(null, SystemCall.RECEIVE)) {
        ReferenceCountUtil.release(message);
        ctx.fireExceptionCaught(fault.errno().ofConnect());
      } else {
        ctx.fireChannelRead(message);
      }
    }
  }
}
