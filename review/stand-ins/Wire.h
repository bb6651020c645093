#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Review {

/// An address such as 127.0.0.1:80.
struct Address {
    std::string ip;
    std::uint16_t port = 0;
};

/// Parses IP:PORT; ends the program with exit code 2 if it is malformed.
Address parseAddress(const std::string& text);

/// The head of an HTTP message, and its body when it was read whole.
struct Message {
    std::string startLine;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
    std::uint64_t length() const;
};

/// A blocking TCP connection.
class Connection {
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    Connection(Connection&& other) noexcept;
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    Connection& operator=(Connection&&) = delete;
    ~Connection();

    /// Opens a connection; nothing when that fails.
    static std::optional<Connection> open(const Address&, int receiveBufferBytes = 0);

    /// Sends all bytes; false when the connection ended.
    bool send(const std::string& bytes) const;
    /// Reads a head and as much of its body as its length tells. Nothing when the connection ended before.
    /// bytesPerSecond: how fast the body is read; 0 for as fast as it arrives.
    std::optional<Message> receive(std::uint64_t bytesPerSecond = 0);
    /// True when the head of the last message was read, whether or not its body was whole.
    bool hasReadHead() const { return m_hasReadHead; }
    /// Bytes of the last body that were read.
    std::uint64_t bodyBytes() const { return m_bodyBytes; }
    /// Ends receive() with nothing after this time without a byte.
    void setTimeout(std::chrono::milliseconds) const;

private:
    int m_descriptor;
    std::string m_buffer;
    bool m_hasReadHead = false;
    std::uint64_t m_bodyBytes = 0;
};

/// Listens at the address; ends the program with exit code 2 if that is impossible.
int listenAt(const Address&);

/// Appends lines to a file, each with the time in seconds; lines of several processes don't mix.
class Record {
public:
    explicit Record(const std::string& path);
    void add(const std::string& line) const;

private:
    int m_descriptor;
};

/// Command line of the form --name value; ends the program with exit code 2 if it is malformed.
class Options {
public:
    Options(int argc, char** argv);
    std::string text(const std::string& name, const std::string& missing = {}) const;
    std::uint64_t number(const std::string& name, std::uint64_t missing) const;

private:
    std::map<std::string, std::string> m_values;
};

} // namespace Review
