package org.hyssoprouter.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;

/**
 * Calls a task at each SIGHUP, which would end the process otherwise. The JVM has no public
 * interface for signals, so that its own one is reached by reflection.
 *
 * @since 0.2
 */
public final class ReloadSignal {
    private static final EventLogger LOG = EventLogger.of(ReloadSignal.class);

    private ReloadSignal() {}

    /**
     * Sets the task; without support for signals SIGHUP keeps its default effect.
     *
     * @return whether the task will be called; it is not in a process that was started with SIGHUP
     *     ignored, as by nohup, which the signal cannot end either
     */
    public static boolean onReload(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler calls =
                    (proxy, method, args) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    };
            Object proxy =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(), new Class<?>[] {handler}, calls);
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            Object former = signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
            return !handler.getField("SIG_IGN").get(null).equals(former);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOG.log(LogEvent.TASK_FAILED, "reload signal", e.toString());
            return false;
        }
    }
}
