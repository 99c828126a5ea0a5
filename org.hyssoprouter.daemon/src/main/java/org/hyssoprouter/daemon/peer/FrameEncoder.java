package org.hyssoprouter.daemon.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Encodes a frame as a 4-byte length followed by a MessagePack array. */
final class FrameEncoder extends MessageToByteEncoder<Frame> {
    static final int FIELD_COUNT = 6;
    private static final int HEADER_BUFFER_BYTES = 64;
    private static final MessagePack.PackerConfig CONFIG =
            new MessagePack.PackerConfig().withBufferSize(HEADER_BUFFER_BYTES);

    private final LinkCounters mCounters;

    FrameEncoder(LinkCounters counters) {
        super(Frame.class, false);
        mCounters = counters;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out)
            throws IOException {
        byte[] header = header(frame);
        int length = header.length + frame.body().length;
        out.ensureWritable(Integer.BYTES + length);
        out.writeInt(length);
        out.writeBytes(header);
        out.writeBytes(frame.body());
        mCounters.recordSent(Integer.BYTES + length);
    }

    private static byte[] header(Frame frame) throws IOException {
        try (MessageBufferPacker packer = CONFIG.newBufferPacker()) {
            packer.packArrayHeader(FIELD_COUNT);
            packer.packInt(frame.kind().number());
            packer.packLong(frame.id());
            packer.packInt(frame.type());
            packer.packInt(WireNumbers.numberOf(frame.trafficClass()));
            packer.packBoolean(frame.last());
            packer.packBinaryHeader(frame.body().length);
            return packer.toByteArray();
        }
    }
}
