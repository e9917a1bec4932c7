package io.fuchsiastand.daemon;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds ports for daemons that are started for a short time. */
public final class FreePorts {

    private FreePorts() {}

    /**
     * Finds ports on which no process listens. They differ from each other, but another process may take them at once.
     *
     * @param count the number of ports
     * @return the ports
     * @throws IOException if there are not enough
     */
    public static List<Integer> find(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            // All ports are held until the last one is found, since a port that is released can be given out again.
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket s : sockets) {
                s.close();
            }
        }
    }
}
