package ferngrade.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Puts requests together up to a bound. Of one that is larger it keeps nothing from the moment on that its
 * length or its count shows it: it only says so, with {@link #TOO_LARGE}, and drops the rest as it comes.
 */
final class BodyAggregator extends HttpObjectAggregator {
    /** The event that stands in for a request with too large a body. */
    static final Object TOO_LARGE = new Object();
    /** Parts that may hold a buffer each; a body that drips in is copied together beyond that. */
    private static final int MOST_PARTS = 16;

    BodyAggregator(int mostBody) {
        super(mostBody, true);
        setMaxCumulationBufferComponents(MOST_PARTS);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        ctx.fireUserEventTriggered(TOO_LARGE);
    }
}
