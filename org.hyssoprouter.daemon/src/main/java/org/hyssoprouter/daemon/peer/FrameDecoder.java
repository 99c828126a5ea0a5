package org.hyssoprouter.daemon.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import org.hyssoprouter.lib.TrafficClass;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Decodes a frame from a MessagePack array; malformed input closes the connection. */
final class FrameDecoder extends MessageToMessageDecoder<ByteBuf> {
    private final LinkCounters mCounters;

    FrameDecoder(LinkCounters counters) {
        mCounters = counters;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws IOException {
        byte[] bytes = new byte[in.readableBytes()];
        in.readBytes(bytes);
        mCounters.recordReceived(Integer.BYTES + bytes.length);
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            out.add(readFrame(unpacker));
        } catch (MessagePackException e) {
            throw new CorruptedFrameException("frame is not valid MessagePack", e);
        }
    }

    private static Frame readFrame(MessageUnpacker unpacker) throws IOException {
        require(unpacker.unpackArrayHeader() == FrameEncoder.FIELD_COUNT, "number of fields");
        Frame.Kind kind = WireNumbers.frameKindOf(unpacker.unpackInt());
        long id = unpacker.unpackLong();
        int type = unpacker.unpackInt();
        TrafficClass trafficClass = WireNumbers.trafficClassOf(unpacker.unpackInt());
        boolean last = unpacker.unpackBoolean();
        int length = unpacker.unpackBinaryHeader();
        require(length <= Frame.CHUNK_BYTES, "body length");
        byte[] body = unpacker.readPayload(length);
        return new Frame(kind, id, type, trafficClass, last, body);
    }

    private static void require(boolean condition, String property) {
        if (!condition) {
            throw new CorruptedFrameException("frame has an invalid " + property);
        }
    }
}
