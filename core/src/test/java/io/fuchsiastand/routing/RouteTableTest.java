package io.fuchsiastand.routing;

import java.time.Duration;
import java.util.List;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.Detection;
import io.fuchsiastand.config.Idempotency;
import io.fuchsiastand.config.PathMatch;
import io.fuchsiastand.config.Route;
import io.fuchsiastand.config.RoutePolicy;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.error.FuchsiastandException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class RouteTableTest {

    private final RouteTable table = new RouteTable(Configuration.builder()
            .service(service("menu", route("*", "/menu"), route("*", "/menu/today")))
            .service(service("till", route("till.example", "/"), route("*", "/till")))
            .build());

    private final RouteTable slashes = new RouteTable(Configuration.builder()
            .service(service("depot", literal("/fudge/")))
            .service(service("trays", literal("/fudge/stock/"), literal("/fudge/x/y/z/")))
            .service(service("till", route("*", "/fudge/x/y")))
            .service(service("menu", route("*", "/fudge"), literal("/stall/")))
            .build());

    @ParameterizedTest
    @CsvSource({
        "any, /menu, menu, /menu",
        "any, /menu/prices, menu, /menu",
        "any, /menu/today, menu, /menu/today",
        "any, /menu/today/noon, menu, /menu/today",
        "any, //menu//prices, menu, /menu",
        "any, /%6Denu, menu, /menu",
        "till.example, /menu, till, /",
        "TILL.example, /x, till, /",
        "any, /till/1, till, /till"
    })
    void prefersRoutesForTheRequestHostAndThenTheLongestPrefix(String host, String path, String service, String route) {
        RouteMatch m = table.find(host, RequestPath.parse(path)).orElseThrow();
        assertThat(m.service().name()).isEqualTo(service);
        assertThat(m.route().path()).isEqualTo(route);
    }

    // Guards against a request that runs at the service of a prefix which does not begin its path (ROUTE).
    @ParameterizedTest
    @CsvSource({
        "/fudge/stock/2f, trays, /fudge/stock/",
        "/fudge/stock/, trays, /fudge/stock/",
        "/fudge/stock//2f, trays, /fudge/stock/",
        "/fudge//stock/2f, depot, /fudge/",
        "/fudge/%73tock/2f, depot, /fudge/",
        "/fudge/stock, depot, /fudge/",
        "/fudge/, depot, /fudge/",
        "/fudge, menu, /fudge",
        "/fudge/x/y, till, /fudge/x/y",
        "/fudge/x/y/z, till, /fudge/x/y",
        "/fudge/x/y/z/1, trays, /fudge/x/y/z/"
    })
    void comparesALiteralPrefixWithThePathAsItWasSent(String path, String service, String route) {
        RouteMatch m = slashes.find("any", RequestPath.parse(path)).orElseThrow();
        assertThat(m.service().name()).isEqualTo(service);
        assertThat(m.route().path()).isEqualTo(route);
    }

    @ParameterizedTest
    @ValueSource(strings = {"//stall/x", "/%73tall/x", "/stall", "//stall//x"})
    void findsNoRouteForAPathThatNoLiteralPrefixBegins(String path) {
        assertThat(slashes.find("any", RequestPath.parse(path))).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/", "/men", "/menus", "/Menu", "/menu;x=1"})
    void findsNoRouteForOtherPaths(String path) {
        assertThat(table.find("any", RequestPath.parse(path))).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/menu/../till",
                "/menu/%2e%2e/till",
                "/menu/./x",
                "/menu/..;a=b/till",
                "/menu%2ftill",
                "/menu%5ctill",
                "/a%00b",
                "/a%zz",
                "/a%4",
                "menu"
            })
    void refusesPathsThatServersInterpretInDifferentWays(String path) {
        assertThrows(FuchsiastandException.class, () -> RequestPath.parse(path));
    }

    @Test
    void findsNoRouteInAnEmptyTable() {
        assertThat(new RouteTable(Configuration.EMPTY).find("any", RequestPath.parse("/")))
                .isEmpty();
    }

    private static Service service(String name, Route... routes) {
        return new Service(name, 0.5, Duration.ofSeconds(1), 1, Detection.CAREFUL, List.of(routes));
    }

    private static Route literal(String path) {
        return new Route(
                Route.ANY_HOST, path, false, Idempotency.BY_METHOD, RoutePolicy.DEFAULT, List.of(), PathMatch.LITERAL);
    }

    private static Route route(String host, String path) {
        return Route.of(host, path, false, Idempotency.BY_METHOD);
    }
}
