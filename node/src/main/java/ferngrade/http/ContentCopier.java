package ferngrade.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;

/**
 * Copies each part of a message body to a buffer of its own size. A decoded part is a slice of a
 * read buffer, and would keep that whole buffer in memory until the body is complete.
 */
final class ContentCopier extends ChannelInboundHandlerAdapter {
  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpContent part && part.content().isReadable()) {
      HttpContent copy = part.replace(part.content().copy());
      part.release();
      ctx.fireChannelRead(copy);
    } else {
      ctx.fireChannelRead(message);
    }
  }
}
