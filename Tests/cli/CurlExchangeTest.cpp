#include "cli/CurlExchange.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <thread>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

using Tcp = asio::ip::tcp;

/// A replica that answers one request with these bytes, and then ends or resets the connection.
class CurlExchangeTest : public ::testing::Test {
protected:
    Result<HttpResponse> receive(const std::string& bytes, bool isReset = false)
    {
        asio::io_context context;
        Tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        std::thread server([&] {
            Tcp::socket socket = acceptor.accept();
            std::array<char, 4096> request {};
            socket.read_some(asio::buffer(request));
            asio::write(socket, asio::buffer(bytes));
            std::this_thread::sleep_for(20ms);
            if (isReset)
                socket.set_option(asio::socket_base::linger(true, 0));
        });
        auto result = Cli::exchangeWithCurl("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), { "GET", "/x", {}, {} }, 2s);
        server.join();
        return result;
    }
};

} // namespace

TEST_F(CurlExchangeTest, WholeResponse_Received_IsReturned)
{
    const auto response = receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(response.has_value()) << response.error().detail;
    EXPECT_EQ("ok", response.value().body);
    EXPECT_TRUE(receive("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").has_value());
}

// A part of an answer, or bytes that are none, passed for an answer of a replica.
TEST_F(CurlExchangeTest, BytesThatAreNoWholeResponse_Received_AreAnError)
{
    for (const char* bytes : { "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\n\r\nok",
             "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok", "HTTQ/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok" }) {
        EXPECT_TRUE(receive(bytes).has_error()) << bytes;
        EXPECT_TRUE(receive(bytes, true).has_error()) << bytes;
    }
}
