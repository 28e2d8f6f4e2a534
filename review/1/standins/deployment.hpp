#pragma once

#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>

#include "replica.hpp"

namespace review {

/// A program of the project as a process. It ends with the test at the latest.
class process
{
public:
    process(std::string name, std::vector<std::string> command, std::string log)
        : name_(std::move(name))
        , command_(std::move(command))
        , log_(std::move(log))
    {}
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    std::string const& name() const { return name_; }
    pid_t pid() const { return pid_; }

    void start()
    {
        auto const parent = getpid();
        pid_ = fork();
        if (pid_ != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        int const fd = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        std::vector<char*> arguments;
        for (auto& it : command_)
            arguments.push_back(it.data());
        arguments.push_back(nullptr);
        execv(arguments[0], arguments.data());
        _exit(127);
    }

    /// Returns the status of the process if it has ended by itself.
    std::optional<int> poll_end()
    {
        int status = 0;
        if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_)
            return std::nullopt;
        pid_ = -1;
        return status;
    }

    void signal(int number) const
    {
        if (pid_ > 0)
            kill(pid_, number);
    }

    void end(int number)
    {
        if (pid_ <= 0)
            return;
        kill(pid_, number);
        int status = 0;
        waitpid(pid_, &status, 0);
        pid_ = -1;
    }

    /// Processor time in milliseconds so far.
    std::int64_t cpu_ms() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
        std::string word;
        std::int64_t ticks = 0;
        for (int i = 1; i <= 15 && file >> word; ++i)
        {
            if (i >= 14)
                ticks += std::atoll(word.c_str());
        }
        return ticks * 1000 / sysconf(_SC_CLK_TCK);
    }

    /// Resident memory in kilobytes.
    std::int64_t resident_kb() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        std::int64_t total = 0;
        std::int64_t resident = 0;
        file >> total >> resident;
        return resident * (sysconf(_SC_PAGESIZE) / 1024);
    }

private:
    std::string name_;
    std::vector<std::string> command_;
    std::string log_;
    pid_t pid_ = -1;
};

/// Gateways, relays and the store of a small deployment, each machine at a loopback address of its
/// own. Ports are the same on all machines.
class deployment
{
public:
    deployment(recorder& record, int gateways, int replicas)
        : record_(record)
        , folder_(make_folder())
        , base_(find_ports(gateways, replicas))
        , store_({"127.0.0.2", base_ + 9})
    {
        for (int i = 0; i < gateways; ++i)
            add_gateway(i);
        for (int i = 0; i < replicas; ++i)
            add_relay(i);
    }
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    /// Ends all processes and removes their files.
    void stop()
    {
        for (auto const& it : gateways_)
            it->end(SIGKILL);
        for (auto const& it : relays_)
            it->end(SIGKILL);
        if (std::getenv("KEEP_LOGS") != nullptr)
            std::fprintf(stderr, "logs are in %s\n", folder_.c_str());
        else
            std::filesystem::remove_all(folder_);
    }

    store& platform() { return store_; }
    process& gateway(std::size_t n) { return *gateways_[n]; }
    std::size_t gateway_count() const { return gateways_.size(); }
    endpoint gateway_address(std::size_t n) const { return {gateway_ip(n), base_}; }
    endpoint replica_address(std::size_t n) const { return {replica_ip(n), base_ + 5}; }
    std::string zone(std::size_t n) const
    {
        return std::string("midlands-") + static_cast<char>('a' + n % 3);
    }

    void start()
    {
        for (auto const& it : relays_)
            it->start();
        for (auto const& it : gateways_)
            it->start();
    }

    /// Waits until all gateways report that they are ready.
    bool wait_until_ready(std::int64_t limit_ms)
    {
        auto const until_ms = now_ms() + limit_ms;
        for (std::size_t i = 0; i < gateways_.size(); ++i)
        {
            while (!is_ready(i))
            {
                if (now_ms() >= until_ms)
                    return false;
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        }
        return true;
    }

    bool is_ready(std::size_t n) const
    {
        int const fd = connect_to({gateway_ip(n), base_ + 1}, 300);
        if (fd < 0)
            return false;
        write_all(fd, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        message_reader reader(fd);
        message_head head;
        bool const is_answered = reader.read_head(head, now_ms() + 1000) == read_result::complete;
        close(fd);
        return is_answered && head.status() == 200;
    }

    /// Starts gateways that ended by themselves again, as the platform does. Returns how many.
    int restart_ended_gateways()
    {
        int n = 0;
        for (auto const& it : gateways_)
        {
            auto const status = it->poll_end();
            if (!status)
                continue;
            ++n;
            if (WIFSIGNALED(*status))
                record_.line(
                    "%s ended by itself: signal %d", it->name().c_str(), WTERMSIG(*status));
            else
                record_.line(
                    "%s ended by itself: status %d", it->name().c_str(), WEXITSTATUS(*status));
            restart(*it);
        }
        return n;
    }

    /// Kills gateways that exceed the memory of their machine, as the platform does, and starts
    /// them again. Returns how many.
    int enforce_memory_limit(std::int64_t limit_kb)
    {
        int n = 0;
        for (auto const& it : gateways_)
        {
            auto const used_kb = it->resident_kb();
            if (used_kb <= limit_kb)
                continue;
            ++n;
            record_.line(
                "%s is killed: it uses %lld kB",
                it->name().c_str(),
                static_cast<long long>(used_kb));
            it->end(SIGKILL);
            restart(*it);
        }
        return n;
    }

private:
    static void restart(process& it)
    {
        constexpr auto restart_delay = std::chrono::milliseconds(300);
        std::this_thread::sleep_for(restart_delay);
        it.start();
    }

    static std::string gateway_ip(std::size_t n) { return "127.0.0." + std::to_string(10 + n); }
    static std::string replica_ip(std::size_t n) { return "127.0.1." + std::to_string(1 + n); }

    static std::string make_folder()
    {
        char name[] = "/tmp/almondcart-review-XXXXXX";
        return mkdtemp(name);
    }

    /// Returns the first of ten ports that are free on all machines.
    static int find_ports(int gateways, int replicas)
    {
        std::vector<std::string> ips{"127.0.0.2"};
        for (int i = 0; i < gateways; ++i)
            ips.push_back(gateway_ip(static_cast<std::size_t>(i)));
        for (int i = 0; i < replicas; ++i)
            ips.push_back(replica_ip(static_cast<std::size_t>(i)));
        for (int base = 20'000 + getpid() % 900 * 10;; base = base < 31'000 ? base + 10 : 20'000)
        {
            bool is_free = true;
            for (auto const& ip : ips)
            {
                for (int port = base; is_free && port < base + 10; ++port)
                {
                    endpoint it{ip, port};
                    int const fd = listen_on(it);
                    is_free = fd >= 0;
                    if (is_free)
                        close(fd);
                }
            }
            if (is_free)
                return base;
        }
    }

    void add_gateway(int n)
    {
        auto const i = static_cast<std::size_t>(n);
        auto const name = "frontend-" + zone(i) + "-" + std::to_string(n + 1);
        auto const at = [&](int offset) {
            return "\"" + endpoint{gateway_ip(i), base_ + offset}.text() + "\"";
        };
        auto const settings = folder_ + "/" + name + ".json";
        std::ofstream(settings) << "{\"name\":\"" << name << "\",\"availability_zone\":\""
                                << zone(i) << "\",\"listen\":" << at(0)
                                << ",\"readiness_listen\":" << at(1)
                                << ",\"status_listen\":" << at(2) << ",\"peer_listen\":" << at(3)
                                << ",\"store_address\":\"" << store_.where().text()
                                << "\",\"shutdown_grace_s\":8,\"relay_port\":" << base_ + 2
                                << ",\"prepaid_topics\":8,\"link_mbps\":1000.0}\n";
        gateways_.push_back(std::make_unique<process>(
            name,
            std::vector<std::string>{"target/services/almondcart-gateway", "--settings", settings},
            folder_ + "/" + name + ".log"));
    }

    void add_relay(int n)
    {
        auto const i = static_cast<std::size_t>(n);
        auto const name = "side-" + zone(i) + "-" + std::to_string(n + 1);
        auto const settings = folder_ + "/" + name + ".json";
        std::ofstream(settings) << "{\"name\":\"" << name << "\",\"listen\":\""
                                << endpoint{replica_ip(i), base_ + 2}.text()
                                << "\",\"store_address\":\"" << store_.where().text() << "\"}\n";
        relays_.push_back(std::make_unique<process>(
            name,
            std::vector<std::string>{"target/services/almondcart-relay", "--settings", settings},
            folder_ + "/" + name + ".log"));
    }

    recorder& record_;
    std::string folder_;
    int base_;
    store store_;
    std::vector<std::unique_ptr<process>> gateways_;
    std::vector<std::unique_ptr<process>> relays_;
};

/// The deployment of this test. Threads of the stand-ins use it until the end of the process, so it
/// is never destroyed.
inline deployment*& current_deployment()
{
    static deployment* it = nullptr;
    return it;
}

inline deployment& start_deployment(recorder& record, int gateways, int replicas)
{
    current_deployment() = new deployment(record, gateways, replicas);
    return *current_deployment();
}

} // namespace review
