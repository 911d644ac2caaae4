"""The tour of the README: a deduplicated write, then reads of it."""

from asyncio import run, sleep
from sys import argv

from asyncmy import Connection, connect
from asyncmy.errors import OperationalError

#: Timeout until the proxy accepts connections, in seconds.
START_TIMEOUT_S = 20.0

CREATE = (
    "CREATE TABLE IF NOT EXISTS orders"
    " (id BIGINT AUTO_INCREMENT PRIMARY KEY, parish VARCHAR(64), kits INT)"
)
ORDER = (
    "/* redwing: kind=order, idempotency_key=order-17 */"
    " INSERT INTO orders (parish, kits) VALUES ('san-jeronimo', 12)"
)
TOLERANT = "/* redwing: max_staleness_ms=2000 */ SELECT kits FROM orders"


async def dial(host: str, port: int) -> Connection:
    """Connect as an organisation as soon as the proxy accepts connections."""
    waited_s = 0.0
    while True:
        try:
            return await connect(
                host=host,
                port=port,
                user="diocese-puno",
                password="tour-key",
                database="catalogue-1",
                autocommit=True,
            )
        except OperationalError:
            if waited_s > START_TIMEOUT_S:
                raise
            await sleep(0.2)
            waited_s += 0.2


async def run_query(connection: Connection, sql: str) -> list:
    """Run a statement and return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return list(await cursor.fetchall())


async def main(host: str, port: int) -> None:
    """Send an order twice, count the orders, read them in a new session."""
    connection = await dial(host, port)
    await run_query(connection, CREATE)
    await run_query(connection, ORDER)
    await run_query(connection, ORDER)
    print("orders:", len(await run_query(connection, "SELECT id FROM orders")))
    token = (await run_query(connection, "SELECT @@redwing_token"))[0][0]
    other = await dial(host, port)
    read_with_token = f"/* redwing: token={token} */ SELECT kits FROM orders"
    print("read elsewhere:", await run_query(other, read_with_token))
    print("read of a stated age:", await run_query(other, TOLERANT))
    connection.close()
    other.close()


if __name__ == "__main__":
    address = argv[1:] or ["127.1.1.99", "13306"]
    run(main(address[0], int(address[1])))
