#include "transport/HttpClient.h"

#include "transport/SteadyTime.h"

#include <asio/ip/tcp.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr long pooledConnections = 256;
constexpr long pooledConnectionMaximumIdleSeconds = 2;
constexpr long connectTimeoutMilliseconds = 1000;

void initializeLibraryOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

void trimLineEnd(std::string& line)
{
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n' || line.back() == ' '))
        line.pop_back();
}

// Socket of curl that Asio watches.
struct WatchedSocket {
    explicit WatchedSocket(asio::io_context& context)
        : socket(context)
    {
    }

    asio::ip::tcp::socket socket;
    int wanted = CURL_POLL_NONE;
    bool isReadPending = false;
    bool isWritePending = false;
};

struct Transfer {
    ~Transfer()
    {
        curl_slist_free_all(headerList);
        curl_easy_cleanup(handle);
    }

    HttpClient::RequestId id = 0;
    CURL* handle = nullptr;
    curl_slist* headerList = nullptr;
    std::string url;
    std::string body;
    std::size_t maximumBodyBytes = 0;
    HttpResponse response;
    TimePoint deadline;
    bool wasStarted = false;
    bool isExpired = false;
    bool isTooLarge = false;
    HttpClient::Hook hook;
};

std::size_t onHeaderLine(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& transfer = *static_cast<Transfer*>(context);
    std::string line(data, size * count);
    trimLineEnd(line);
    // A new status line after an interim response (1xx) starts the headers again.
    if (line.compare(0, 5, "HTTP/") == 0) {
        transfer.response.headers.clear();
        return size * count;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
        const std::size_t start = line.find_first_not_of(" \t", colon + 1);
        transfer.response.headers.push_back({ line.substr(0, colon), start == std::string::npos ? "" : line.substr(start) });
    }
    return size * count;
}

std::size_t onBodyBytes(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& transfer = *static_cast<Transfer*>(context);
    const std::size_t length = size * count;
    if (transfer.response.body.size() + length > transfer.maximumBodyBytes) {
        transfer.isTooLarge = true;
        return 0;
    }
    transfer.response.body.append(data, length);
    return length;
}

// Called before each sending of the request. A second call is curl's own repetition after a pooled connection
// broke; the first sending may have run. A process that was frozen while it connected finds its request expired here.
int onBeforeRequest(void* context, char*, char*, int, int)
{
    auto& transfer = *static_cast<Transfer*>(context);
    transfer.isExpired = !transfer.wasStarted && steadyNow() >= transfer.deadline;
    if (transfer.isExpired)
        return CURL_PREREQFUNC_ABORT;
    return std::exchange(transfer.wasStarted, true) ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

HttpClient::Outcome outcomeOf(Transfer& transfer, CURLcode code)
{
    HttpClient::Outcome outcome;
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
        outcome.succeeded = true;
        outcome.response = std::move(transfer.response);
        outcome.response.status = static_cast<std::uint16_t>(status);
        return outcome;
    }
    outcome.failure.mayHaveRun = transfer.wasStarted;
    outcome.failure.error = { ResultCode::ConnectionFailed, curl_easy_strerror(code) };
    if (code == CURLE_OPERATION_TIMEDOUT || transfer.isExpired)
        outcome.failure.error.code = ResultCode::TimedOut;
    if (code == CURLE_PARTIAL_FILE || transfer.isTooLarge)
        outcome.failure.error.code = ResultCode::AnswerIncomplete;
    if (transfer.isTooLarge)
        outcome.failure.error.detail = "the answer is longer than " + std::to_string(transfer.maximumBodyBytes) + " bytes";
    return outcome;
}

} // namespace

class HttpClient::Implementation {
public:
    explicit Implementation(asio::io_context& context)
        : m_context(context)
        , m_timer(context, [this] { driveTimeout(); })
    {
        initializeLibraryOnce();
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocketWanted);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Implementation::onTimerWanted);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, pooledConnections);
    }

    ~Implementation()
    {
        for (auto& entry : m_transfers)
            curl_multi_remove_handle(m_multi, entry.second->handle);
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
    }

    RequestId send(const std::string& server, const HttpRequest& request, const Options& options, Hook hook)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->id = ++m_lastId;
        transfer->handle = curl_easy_init();
        transfer->url = "http://" + server + request.target;
        transfer->body = request.body;
        transfer->maximumBodyBytes = options.maximumBodyBytes;
        transfer->deadline = steadyNow() + options.timeout;
        transfer->hook = std::move(hook);
        prepare(*transfer, request, options);
        CURL* handle = transfer->handle;
        const RequestId id = transfer->id;
        m_transfers.emplace(id, std::move(transfer));
        curl_multi_add_handle(m_multi, handle);
        return id;
    }

    void cancel(RequestId id)
    {
        const auto entry = m_transfers.find(id);
        if (entry == m_transfers.end())
            return;
        curl_multi_remove_handle(m_multi, entry->second->handle);
        m_transfers.erase(entry);
    }

private:
    void prepare(Transfer& transfer, const HttpRequest& request, const Options& options)
    {
        CURL* handle = transfer.handle;
        for (const HttpHeader& header : request.headers) {
            const std::string line = header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
            transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
        }
        // The library would otherwise add these of its own.
        transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
        if (!findHeader(request.headers, "Accept"))
            transfer.headerList = curl_slist_append(transfer.headerList, "Accept:");
        if (!findHeader(request.headers, "Content-Type"))
            transfer.headerList = curl_slist_append(transfer.headerList, "Content-Type:");
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headerList);
        curl_easy_setopt(handle, CURLOPT_URL, transfer.url.c_str());
        curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMilliseconds);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, std::max<long>(1, static_cast<long>(toMilliseconds(options.timeout))));
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, pooledConnectionMaximumIdleSeconds);
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, options.needsFreshConnection ? 1L : 0L);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeaderLine);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBodyBytes);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onBeforeRequest);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &Implementation::onOpenSocket);
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &Implementation::onCloseSocket);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
        prepareBody(transfer, request);
    }

    static void prepareBody(Transfer& transfer, const HttpRequest& request)
    {
        CURL* handle = transfer.handle;
        if (request.method == "HEAD") {
            curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
            return;
        }
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, transfer.body.data());
        }
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }

    static curl_socket_t onOpenSocket(void* context, curlsocktype, curl_sockaddr* address)
    {
        auto& self = *static_cast<Implementation*>(context);
        if (address->family != AF_INET && address->family != AF_INET6)
            return CURL_SOCKET_BAD;
        auto watched = std::make_shared<WatchedSocket>(self.m_context);
        asio::error_code error;
        watched->socket.open(address->family == AF_INET ? asio::ip::tcp::v4() : asio::ip::tcp::v6(), error);
        if (error)
            return CURL_SOCKET_BAD;
        const curl_socket_t handle = watched->socket.native_handle();
        self.m_sockets.emplace(handle, std::move(watched));
        return handle;
    }

    static int onCloseSocket(void* context, curl_socket_t handle)
    {
        auto& self = *static_cast<Implementation*>(context);
        const auto entry = self.m_sockets.find(handle);
        if (entry == self.m_sockets.end())
            return 0;
        asio::error_code ignored;
        entry->second->wanted = CURL_POLL_REMOVE;
        entry->second->socket.close(ignored);
        self.m_sockets.erase(entry);
        return 0;
    }

    static int onSocketWanted(CURL*, curl_socket_t handle, int wanted, void* context, void*)
    {
        auto& self = *static_cast<Implementation*>(context);
        const auto entry = self.m_sockets.find(handle);
        if (entry == self.m_sockets.end())
            return 0;
        entry->second->wanted = wanted;
        self.watch(entry->second);
        return 0;
    }

    static int onTimerWanted(CURLM*, long milliseconds, void* context)
    {
        auto& self = *static_cast<Implementation*>(context);
        if (milliseconds < 0)
            self.m_timer.clear();
        else
            self.m_timer.setAfter(std::chrono::milliseconds(milliseconds));
        return 0;
    }

    void watch(const std::shared_ptr<WatchedSocket>& watched)
    {
        const bool wantsRead = watched->wanted == CURL_POLL_IN || watched->wanted == CURL_POLL_INOUT;
        const bool wantsWrite = watched->wanted == CURL_POLL_OUT || watched->wanted == CURL_POLL_INOUT;
        if (wantsRead && !watched->isReadPending) {
            watched->isReadPending = true;
            watched->socket.async_wait(asio::ip::tcp::socket::wait_read, [this, watched](const asio::error_code& error) {
                watched->isReadPending = false;
                driveSocket(watched, CURL_CSELECT_IN, error);
            });
        }
        if (wantsWrite && !watched->isWritePending) {
            watched->isWritePending = true;
            watched->socket.async_wait(asio::ip::tcp::socket::wait_write, [this, watched](const asio::error_code& error) {
                watched->isWritePending = false;
                driveSocket(watched, CURL_CSELECT_OUT, error);
            });
        }
    }

    void driveSocket(const std::shared_ptr<WatchedSocket>& watched, int event, const asio::error_code& error)
    {
        if (error == asio::error::operation_aborted || !watched->socket.is_open())
            return;
        const bool isWanted = watched->wanted == CURL_POLL_INOUT
            || (watched->wanted == CURL_POLL_IN && event == CURL_CSELECT_IN)
            || (watched->wanted == CURL_POLL_OUT && event == CURL_CSELECT_OUT);
        if (!isWanted)
            return;
        int running = 0;
        curl_multi_socket_action(m_multi, watched->socket.native_handle(), error ? CURL_CSELECT_ERR : event, &running);
        completeFinished();
        if (watched->socket.is_open())
            watch(watched);
    }

    void driveTimeout()
    {
        int running = 0;
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
        completeFinished();
    }

    void completeFinished()
    {
        int remaining = 0;
        while (CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            complete(transfer->id, message->data.result);
        }
    }

    void complete(RequestId id, CURLcode code)
    {
        const auto entry = m_transfers.find(id);
        const std::unique_ptr<Transfer> transfer = std::move(entry->second);
        m_transfers.erase(entry);
        Outcome outcome = outcomeOf(*transfer, code);
        curl_multi_remove_handle(m_multi, transfer->handle);
        transfer->hook(std::move(outcome));
    }

    asio::io_context& m_context;
    Timer m_timer;
    CURLM* m_multi = nullptr;
    RequestId m_lastId = 0;
    std::map<curl_socket_t, std::shared_ptr<WatchedSocket>> m_sockets;
    std::map<RequestId, std::unique_ptr<Transfer>> m_transfers;
};

HttpClient::HttpClient(asio::io_context& context)
    : m_implementation(std::make_unique<Implementation>(context))
{
}

HttpClient::~HttpClient() = default;

HttpClient::RequestId HttpClient::send(const std::string& server, const HttpRequest& request, const Options& options, Hook hook)
{
    return m_implementation->send(server, request, options, std::move(hook));
}

void HttpClient::cancel(RequestId id)
{
    m_implementation->cancel(id);
}

} // namespace Knapweedquay
