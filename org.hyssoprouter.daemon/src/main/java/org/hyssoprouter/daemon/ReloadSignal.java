package org.hyssoprouter.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;

/**
 * Runs a task on each SIGHUP, which would otherwise terminate the process. Java has no public API
 * for signals, so {@code sun.misc.Signal} is called by reflection.
 *
 * @since 0.2
 */
public final class ReloadSignal {
    private static final EventLogger LOG = EventLogger.of(ReloadSignal.class);

    private ReloadSignal() {}

    /**
     * Installs the SIGHUP handler; if the JVM does not support it, SIGHUP keeps its default effect.
     *
     * @return whether the task will run; false if the handler could not be installed, or if the
     *     process was started with SIGHUP ignored, for example by nohup, in which case the signal
     *     does not terminate it either
     */
    public static boolean onReload(Runnable task) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocationHandler =
                    (proxy, method, args) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    };
            Object proxy =
                    Proxy.newProxyInstance(
                            handlerType.getClassLoader(),
                            new Class<?>[] {handlerType},
                            invocationHandler);
            Object sighup = signalType.getConstructor(String.class).newInstance("HUP");
            Object previousHandler =
                    signalType
                            .getMethod("handle", signalType, handlerType)
                            .invoke(null, sighup, proxy);
            return !handlerType.getField("SIG_IGN").get(null).equals(previousHandler);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOG.log(LogEvent.TASK_FAILED, "install SIGHUP handler", e.toString());
            return false;
        }
    }
}
