package ferngrade.faulttest.upgrade;

import ferngrade.transport.ChannelProvider;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A channel provider whose client connections delay or truncate responses, depending on the
 * mutation.
 */
final class MutantChannels implements ChannelProvider {
  private static final long DELAY_MILLIS = 600;

  /** The interval, in responses with a result, between two truncated responses. */
  private static final int TRUNCATION_INTERVAL = 50;

  private static final int STATUS_BYTES = 12;

  private final Mutation mutation;
  private int resultsWritten;

  MutantChannels(Mutation mutation) {
    this.mutation = mutation;
  }

  @Override
  public ServerChannel listener(Purpose purpose, ServerSocketChannel inherited) {
    if (purpose != Purpose.CLIENTS || inherited == null) {
      return ChannelProvider.super.listener(purpose, inherited);
    }
    return new NioServerSocketChannel(inherited) {
      @Override
      protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
          return 0;
        }
        accepted.add(new MutantConnection(this, socket));
        return 1;
      }
    };
  }

  private final class MutantConnection extends NioSocketChannel {
    private boolean delayed;

    MutantConnection(Channel parent, SocketChannel socket) {
      super(parent, socket);
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
      if (pending.current() instanceof ByteBuf bytes && bytes.readableBytes() > STATUS_BYTES) {
        String status =
            bytes.toString(bytes.readerIndex(), STATUS_BYTES, StandardCharsets.US_ASCII);
        if (mutation == Mutation.LATE_GUARD_TIMER && status.contains(" 50") && !delayed) {
          delayed = true;
          eventLoop().schedule(this::flush, DELAY_MILLIS, TimeUnit.MILLISECONDS);
          return;
        }
        if (mutation == Mutation.HALF_WRITTEN_ANSWER
            && status.endsWith(" 200")
            && ++resultsWritten % TRUNCATION_INTERVAL == 0) {
          bytes.writerIndex(bytes.readerIndex() + bytes.readableBytes() / 2);
        }
      }
      delayed = false;
      super.doWrite(pending);
    }
  }
}
