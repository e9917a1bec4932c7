import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for an application upstream: runs requests, and sends heartbeats to the daemon on its machine. */
final class UpstreamStandin {

    final String id;
    final String service;
    final long born = System.currentTimeMillis();
    private final Record record;
    private final ServerSocket listener;
    private final int control;
    private final long workMillis;
    private final AtomicLong seq = new AtomicLong();
    private volatile boolean beating = true;
    private volatile String state = "ready";

    UpstreamStandin(String id, String service, int control, long workMillis, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.control = control;
        this.workMillis = workMillis;
        this.record = record;
        listener = new ServerSocket(0, 300, InetAddress.getByName("127.0.0.1"));
        thread(this::accept);
        thread(this::beats);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Ends the heartbeats. */
    void stopBeats() {
        beating = false;
    }

    /** Makes the body of the next heartbeat, which may be sent later. */
    synchronized String nextBeat(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port()
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":3,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"seq\":" + seq.incrementAndGet() + ",\"born\":" + born + "}";
    }

    /** Sends a body to the control address and returns the status, or 0 if there is no answer. */
    int send(String what, String body) {
        try {
            return Http.call(
                            "127.0.0.1",
                            control,
                            "POST /instances/" + id + "/" + what + " HTTP/1.1\r\nHost: control\r\n"
                                    + "Content-Type: application/json\r\nConnection: close\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body,
                            1000)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Reports at once, and from now on, that it drains, and returns the status of the answer. */
    int drain() {
        state = "draining";
        return send("heartbeat", nextBeat(state));
    }

    int deregister() {
        return send("deregister", "{\"born\":" + born + "}");
    }

    void close() throws IOException {
        beating = false;
        listener.close();
    }

    private void beats() {
        while (beating) {
            send("heartbeat", nextBeat(state));
            sleep(1500);
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket s = listener.accept();
                s.setTcpNoDelay(true);
                thread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = s.getInputStream();
            OutputStream out = s.getOutputStream();
            for (Http.Message m = Http.read(in, false); m != null; m = Http.read(in, false)) {
                String attempt = m.field("x-attempt-id");
                if (!m.field("x-expect-instance").isEmpty() && !m.field("x-expect-instance").equals(id)) {
                    answer(out, "421 Misdirected Request", attempt, "X-Not-Executed: 1\r\n", "");
                    continue;
                }
                record.run(id, m);
                sleep(workMillis);
                String body = "done by " + id + " for " + attempt;
                answer(out, "200 OK", attempt, "X-Response-Signature: " + id + "." + attempt + "\r\n", body);
            }
        } catch (IOException e) {
            // the daemon ended the connection
        }
    }

    private static void answer(OutputStream out, String status, String attempt, String fields, String body)
            throws IOException {
        String text = "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attempt + "\r\n" + fields + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread thread(Runnable work) {
        Thread t = new Thread(work);
        t.setDaemon(true);
        t.start();
        return t;
    }
}
